use super::*;

#[test]
fn file_names_round_trip_and_foreign_files_are_ignored() {
    for good in ["s-1", "a/../b", "\u{e9}"] {
        assert_eq!(parse_file_name(&file_name(good)).as_deref(), Some(good));
    }
    for foreign in ["", "ban-", "ban-7", "ban-zz", "ban-+1", "ban-ff", "bans", "ban-\u{e9}\u{e9}"] {
        assert_eq!(parse_file_name(foreign), None, "{foreign}");
    }
}

#[test]
fn bans_without_a_folder_are_kept_in_memory() {
    let mut bans = Bans::open(None);
    bans.ban(&"s".into()).expect("banned");
    assert!(bans.contains("s") && bans.reload().is_empty());
    bans.lift(&"s".into()).expect("lifted");
    assert!(!bans.contains("s"));
}
