use super::*;

fn record(n: u64) -> Record {
    Record::Done { number: n }
}

fn numbers(records: &[Record]) -> Vec<u64> {
    records.iter().map(|r| if let Record::Done { number } = r { *number } else { 0 }).collect()
}

fn log_with_records(count: u64) -> (tempfile::TempDir, Vec<u8>) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path()).expect("a log");
    (1..=count).for_each(|n| log.append(&[record(n)]).expect("appended"));
    let bytes = fs::read(folder.path().join("log")).expect("a file");
    (folder, bytes)
}

#[test]
fn a_log_truncated_at_any_byte_keeps_its_complete_records_and_accepts_new_ones() {
    let (folder, bytes) = log_with_records(4);
    let size = (bytes.len() - MAGIC.len()) / 4;
    for cut in 0..=bytes.len() {
        fs::write(folder.path().join("log"), &bytes[..cut]).expect("written");
        let whole = cut.saturating_sub(MAGIC.len()) / size;
        let (mut log, records) = Log::open(folder.path()).expect("a log");
        assert_eq!(numbers(&records), (1..=whole as u64).collect::<Vec<_>>(), "{cut}");
        log.append(&[record(9)]).expect("appended");
        drop(log);
        let (_, records) = Log::open(folder.path()).expect("a log");
        assert_eq!(numbers(&records).last(), Some(&9), "{cut}");
    }
}

#[test]
fn a_log_damaged_in_the_middle_is_refused_and_one_damaged_at_the_end_is_truncated() {
    let (folder, bytes) = log_with_records(3);
    let size = (bytes.len() - MAGIC.len()) / 3;
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x20;
        fs::write(folder.path().join("log"), &corrupted).expect("written");
        match Log::open(folder.path()) {
            Err(Error::Foreign) => assert!(at < MAGIC.len(), "{at}"),
            Err(Error::Damaged { .. }) => {
                assert!((MAGIC.len()..bytes.len() - size).contains(&at), "{at}")
            }
            Ok((_, records)) => {
                assert!(at >= bytes.len() - size, "{at}");
                assert_eq!(numbers(&records), [1, 2], "{at}");
            }
            Err(e) => panic!("{at}: {e}"),
        }
    }
}

#[test]
fn a_second_writer_is_refused_and_compaction_keeps_the_records() {
    let (folder, bytes) = log_with_records(3);
    let (mut log, _) = Log::open(folder.path()).expect("a log");
    assert!(matches!(Log::open(folder.path()), Err(Error::Taken)));
    log.compact(&[record(3)]).expect("compacted");
    log.append(&[record(4)]).expect("appended");
    drop(log);
    // A crash in the middle of a compaction leaves a partial file, which is ignored.
    fs::write(folder.path().join("log.new"), &bytes[..20]).expect("written");
    let (_, records) = Log::open(folder.path()).expect("a log");
    assert_eq!(numbers(&records), [3, 4]);
}
