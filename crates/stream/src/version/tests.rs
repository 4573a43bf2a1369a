use super::*;

#[test]
fn versions_are_ordered_by_epoch_first_and_parse_as_displayed() {
    let sorted = [Version::new(1, 9), Version::new(2, 3), Version::new(2, 10)];
    assert!(sorted.is_sorted());
    assert!(sorted.iter().all(|v| v.to_string().parse() == Ok(*v)));
    for bad in ["", "1", "1.", ".1", "1.2.3", "-1.2", "+1.2", "a.b"] {
        assert_eq!(bad.parse::<Version>(), Err(ParseVersionError), "{bad}");
    }
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(Digest::of("").0, empty);
}
