use super::*;

const S: Micros = 1_000_000;

fn id(n: usize) -> FunctionId {
    format!("{n:016x}").into()
}

fn new_function(n: usize) -> Function {
    Function { id: id(n), lanes: 2.0, run_time: 1_000.0 + n as f64, ..Function::default() }
}

fn request(table: &mut FunctionTable, now: Micros, n: usize) -> usize {
    table.activate(now, &id(n), || new_function(n))
}

#[test]
fn idle_function_keeps_what_was_learned_in_a_dormant_record() {
    let mut table = FunctionTable::new(DEFAULT_FUNCTION_BYTES);
    let slot = request(&mut table, 0, 7);
    table.served(0, slot);
    table[slot].holders = vec![3, 5];
    (table[slot].run_time, table[slot].load_time, table[slot].answer_count) = (81_250.0, Some(640_000.0), 12);
    assert!(table.maintain(10 * S, 0).is_empty(), "a function in use stays active");
    let retired = table.maintain(90 * S, 10 * S);
    assert_eq!(retired.len(), 1);
    assert_eq!((retired[0].slot, retired[0].holders.as_slice()), (slot, &[3, 5][..]));
    assert_eq!((table.counts(), table.slot(&id(7))), ((0, 1), None));
    let slot = request(&mut table, 600 * S, 7);
    let reactivated = &table[slot];
    assert_eq!(
        (reactivated.run_time, reactivated.load_time, reactivated.answer_count, reactivated.served),
        (81_250.0, Some(640_000.0), 12, true)
    );
    assert!(reactivated.holders.is_empty() && table.counts() == (1, 0));
}

#[test]
fn table_is_bounded_and_evicts_functions_never_served_first() {
    let max_bytes = 64 << 10;
    let mut table = FunctionTable::new(max_bytes);
    for n in 0..20 {
        let slot = request(&mut table, n as Micros, n);
        table.served(n as Micros, slot);
    }
    for n in 20..50_000 {
        request(&mut table, n as Micros * 1_000, n);
        table.maintain(n as Micros * 1_000, 0);
        assert!(table.bytes() <= max_bytes, "{} bytes after requests for {n} functions", table.bytes());
    }
    for n in 0..20 {
        assert!(table.slot(&id(n)).is_some(), "{n} was served: names never served must not evict it");
    }
    // Of the functions that were served, the least recently used is evicted first.
    for n in 50_000..60_000 {
        let slot = request(&mut table, n as Micros * 1_000, n);
        table.served(n as Micros * 1_000, slot);
        table.maintain(n as Micros * 1_000, 0);
        assert!(table.bytes() <= max_bytes);
    }
    assert!((0..20).all(|n| table.slot(&id(n)).is_none()));
    assert!(table.slot(&id(59_999)).is_some());
}

#[test]
fn function_with_a_request_in_flight_stays_active() {
    let mut table = FunctionTable::new(64 << 10);
    let slot = request(&mut table, 0, 1);
    table[slot].in_flight = 1;
    for n in 2..5_000 {
        request(&mut table, n as Micros * S, n);
        table.maintain(n as Micros * S, (n as Micros).saturating_sub(80) * S);
    }
    assert_eq!(table.slot(&id(1)), Some(slot));
}

#[test]
fn idle_functions_become_dormant_a_few_at_a_time() {
    let mut table = FunctionTable::new(DEFAULT_FUNCTION_BYTES);
    for n in 0..1_000 {
        request(&mut table, 0, n);
    }
    let retired = table.maintain(100 * S, 10 * S);
    assert_eq!(retired.len(), MAX_MAINTENANCE_STEPS);
    for _ in 0..1_000 / MAX_MAINTENANCE_STEPS {
        table.maintain(100 * S, 10 * S);
    }
    assert_eq!(table.counts(), (0, 1_000));
    assert!(table.bytes() < 1_000 * 200, "{} bytes for a thousand dormant records", table.bytes());
}
