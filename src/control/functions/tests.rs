use super::*;

const S: Micros = 1_000_000;

fn id(n: usize) -> FunctionId {
    format!("{n:016x}").into()
}

fn first(n: usize) -> Function {
    Function { id: id(n), lanes: 2.0, run: 1_000.0 + n as f64, ..Function::default() }
}

fn ask(table: &mut FunctionTable, now: Micros, n: usize) -> usize {
    table.wake(now, &id(n), || first(n))
}

#[test]
fn what_is_learned_survives_idle_minutes_in_a_compact_record() {
    let mut table = FunctionTable::new(USUAL_FUNCTION_BYTES);
    let slot = ask(&mut table, 0, 7);
    table.served(0, slot);
    table[slot].holders = vec![3, 5];
    (table[slot].run, table[slot].load, table[slot].answers) = (81_250.0, Some(640_000.0), 12);
    assert!(table.maintain(10 * S, 0).is_empty(), "it is in use");
    let retired = table.maintain(90 * S, 10 * S);
    assert_eq!(retired.len(), 1);
    assert_eq!((retired[0].slot, retired[0].holders.as_slice()), (slot, &[3, 5][..]));
    assert_eq!((table.counts(), table.slot(&id(7))), ((0, 1), None));
    let slot = ask(&mut table, 600 * S, 7);
    let woken = &table[slot];
    assert_eq!((woken.run, woken.load, woken.answers, woken.served), (81_250.0, Some(640_000.0), 12, true));
    assert!(woken.holders.is_empty() && table.counts() == (1, 0));
}

#[test]
fn bytes_are_bounded_and_what_was_never_served_goes_first() {
    let most = 64 << 10;
    let mut table = FunctionTable::new(most);
    for n in 0..20 {
        let slot = ask(&mut table, n as Micros, n);
        table.served(n as Micros, slot);
    }
    for n in 20..50_000 {
        ask(&mut table, n as Micros * 1_000, n);
        table.maintain(n as Micros * 1_000, 0);
        assert!(table.bytes() <= most, "{} bytes with {n} functions asked for", table.bytes());
    }
    for n in 0..20 {
        assert!(table.slot(&id(n)).is_some(), "{n} was served: made-up names do not drive it out");
    }
    // And among those that were served the one used longest ago goes first.
    for n in 50_000..60_000 {
        let slot = ask(&mut table, n as Micros * 1_000, n);
        table.served(n as Micros * 1_000, slot);
        table.maintain(n as Micros * 1_000, 0);
        assert!(table.bytes() <= most);
    }
    assert!((0..20).all(|n| table.slot(&id(n)).is_none()));
    assert!(table.slot(&id(59_999)).is_some());
}

#[test]
fn a_function_with_a_request_under_way_stays() {
    let mut table = FunctionTable::new(64 << 10);
    let slot = ask(&mut table, 0, 1);
    table[slot].in_flight = 1;
    for n in 2..5_000 {
        ask(&mut table, n as Micros * S, n);
        table.maintain(n as Micros * S, (n as Micros).saturating_sub(80) * S);
    }
    assert_eq!(table.slot(&id(1)), Some(slot));
}

#[test]
fn idle_functions_become_compact_a_few_at_a_time() {
    let mut table = FunctionTable::new(USUAL_FUNCTION_BYTES);
    for n in 0..1_000 {
        ask(&mut table, 0, n);
    }
    let retired = table.maintain(100 * S, 10 * S);
    assert_eq!(retired.len(), UPKEEP_STEPS);
    for _ in 0..1_000 / UPKEEP_STEPS {
        table.maintain(100 * S, 10 * S);
    }
    assert_eq!(table.counts(), (0, 1_000));
    assert!(table.bytes() < 1_000 * 200, "{} bytes for a thousand compact records", table.bytes());
}
