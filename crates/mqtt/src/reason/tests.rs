use super::*;

#[test]
fn codes_are_read_as_written_and_fit_where_the_tables_say() {
    for code in 0..=u8::MAX {
        assert_eq!(Reason::of(code).map(Reason::code), Reason::of(code).map(|_| code));
    }
    assert_eq!(Reason::ALL.len(), 43);
    // The number of codes in each packet's table of the specification.
    let counts = [
        (Kind::Connack, 22),
        (Kind::Puback, 9),
        (Kind::Pubrec, 9),
        (Kind::Pubrel, 2),
        (Kind::Pubcomp, 2),
        (Kind::Suback, 12),
        (Kind::Unsuback, 7),
        (Kind::Disconnect, 29),
        (Kind::Auth, 3),
        (Kind::Publish, 0),
    ];
    for (kind, count) in counts {
        assert_eq!(Reason::ALL.iter().filter(|r| r.fits(kind)).count(), count, "{kind:?}");
    }
}
