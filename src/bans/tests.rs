use super::*;

#[test]
fn files_are_named_after_ids_and_foreign_ones_are_none() {
    for good in ["s-1", "a/../b", "\u{e9}"] {
        assert_eq!(id(&name(good)).as_deref(), Some(good));
    }
    for foreign in ["", "ban-", "ban-7", "ban-zz", "ban-+1", "ban-ff", "bans", "ban-\u{e9}\u{e9}"] {
        assert_eq!(id(foreign), None, "{foreign}");
    }
}

#[test]
fn without_a_folder_bans_are_held_in_memory() {
    let mut bans = Bans::open(None);
    bans.ban(&"s".into()).expect("banned");
    assert!(bans.holds("s") && bans.reread().is_empty());
    bans.lift(&"s".into()).expect("lifted");
    assert!(!bans.holds("s"));
}
