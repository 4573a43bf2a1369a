//! Zones as one fleet, on real processes: three zones with two dispatchers and two workers each, and faults between them.

use super::{all_see, liar, packet, zone_place};
use ochreward_membership::wire::Body;
use ochreward_rig::fleet::{Fleet, Setup, name, zone};
use ochreward_rig::load::Manner;
use ochreward_rig::worker::Power;
use ochreward_zones::{Opinion, Reason, Report, ZoneReport};
use std::time::{Duration, Instant};

const TOLD: &str = "[zones]\nsilent_ms = 400\nstay_ms = 500\ndwell_ms = 200\n";
const TOP: u64 = 4;
const WARM: Duration = Duration::from_secs(3);

fn usual() -> Power {
    Power { service: Duration::from_millis(20), lanes: 8, queue: 4_096 }
}

fn three_zones() -> Setup {
    Setup {
        power: usual(),
        workers: 6,
        clients: 4,
        zones: 3,
        zones_told: TOLD.into(),
        warm: WARM,
        // So many functions that each worker is home to some: each dispatcher uses all zones, whatever the module chooses between
        // homes of one function.
        manner: Manner { load_ms: 1, ttl_ms: 2_000, functions: 24, ..Manner::default() },
        strict: false,
        ..Setup::default()
    }
}

fn steps(fleet: &Fleet, who: &[usize], of: usize) -> Vec<Option<u64>> {
    who.iter().map(|n| fleet.step(*n, of).map(|s| s.0)).collect()
}

fn all_on(fleet: &Fleet, who: &[usize], of: usize, step: u64) -> bool {
    steps(fleet, who, of).iter().all(|s| *s == Some(step))
}

/// Waits until these stand on that step to a zone.
fn until_on(fleet: &Fleet, who: &[usize], of: usize, step: u64) {
    let names: Vec<String> = who.iter().map(|n| name(*n)).collect();
    let what = format!("{} on step {step} to {}", names.join(" "), zone(of));
    fleet.until_so(&what, || all_on(fleet, who, of, step));
}

/// Nobody moves for so long, in which clients are served.
fn nobody_moves(fleet: &Fleet, time: Duration) {
    let moves =
        |fleet: &Fleet| -> Vec<u64> { (0..fleet.count()).map(|n| fleet.counter(n, "zones_moves")).collect() };
    let (before, began) = (moves(fleet), Instant::now());
    while began.elapsed() < time {
        fleet.until_served(&(0..fleet.count()).collect::<Vec<usize>>());
        assert_eq!(moves(fleet), before, "nobody has a reason to move\n{}", fleet.history);
    }
}

/// All workers are used by all, so that each zone is known to each.
fn until_used(fleet: &Fleet) {
    let before: Vec<u64> = fleet.workers.iter().map(|w| w.tries()).collect();
    let more = |(w, before): (&ochreward_rig::worker::Worker, &u64)| w.tries() >= before + 100;
    fleet.until_so("all workers are used", || fleet.workers.iter().zip(&before).all(more));
    // Each has seen each zone well at some time: which zones it uses in one second is the module's choice.
    let seen = std::cell::RefCell::new(std::collections::BTreeSet::new());
    fleet.until_so("each has seen all zones well", || {
        for n in 0..fleet.count() {
            for h in fleet.zones(n).and_then(|r| r["zones"].as_array().cloned()).into_iter().flatten() {
                if h["sees"] == "well" {
                    seen.borrow_mut().insert((n, h["zone"].to_string()));
                }
            }
        }
        seen.borrow().len() == 3 * fleet.count()
    });
}

fn begun(seed: u64, setup: Setup) -> Fleet {
    let fleet = Fleet::made(seed, 6, setup);
    until_used(&fleet);
    fleet
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn kill_zone(fleet: &mut Fleet, of: usize) {
    fleet.workers_of(of).into_iter().for_each(|w| fleet.kill_worker(w));
}

fn revive_zone(fleet: &mut Fleet, of: usize) {
    fleet.workers_of(of).into_iter().for_each(|w| fleet.workers[w].restart_cold(WARM));
}

fn none_knocked_over(fleet: &Fleet) {
    let knocked: Vec<u64> = fleet.workers.iter().map(|w| w.knocked_over()).collect();
    assert!(knocked.iter().all(|k| *k == 0), "cold workers got more than they bear: {knocked:?}");
}

#[test]
fn a_zone_whose_workers_die_at_once_is_left_by_all_and_comes_back_at_a_pace_they_bear() {
    let _place = zone_place();
    let mut fleet = begun(61, three_zones());
    kill_zone(&mut fleet, 2);
    until_on(&fleet, &ALL, 2, 0);
    fleet.until_served(&ALL);
    let before: u64 = fleet.workers_of(2).into_iter().map(|w| fleet.workers[w].tries()).sum();
    revive_zone(&mut fleet, 2);
    until_on(&fleet, &ALL, 2, TOP);
    none_knocked_over(&fleet);
    let after: u64 = fleet.workers_of(2).into_iter().map(|w| fleet.workers[w].tries()).sum();
    assert!(after > before, "it is used again");
    fleet.until_served(&ALL);
    fleet.judge();
}

#[test]
fn a_zone_that_says_nothing_for_six_seconds_is_left_and_returned_to() {
    let _place = zone_place();
    let mut fleet = begun(62, three_zones());
    let workers = fleet.workers_of(0);
    workers.iter().for_each(|w| fleet.workers[*w].silent(true));
    until_on(&fleet, &ALL, 0, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(6) {
        fleet.until_served(&ALL);
        assert!(all_on(&fleet, &ALL, 0, 0), "trials alone go there\n{}", fleet.history);
    }
    kill_zone(&mut fleet, 0);
    workers.iter().for_each(|w| fleet.workers[*w].silent(false));
    revive_zone(&mut fleet, 0);
    until_on(&fleet, &ALL, 0, TOP);
    none_knocked_over(&fleet);
    fleet.judge();
}

#[test]
fn a_zone_five_times_slower_gets_less_and_not_nothing() {
    let _place = zone_place();
    let fleet = begun(63, three_zones());
    let slow = Power { service: usual().service * 6, ..usual() };
    fleet.workers_of(1).into_iter().for_each(|w| fleet.workers[w].power(slow));
    let less = |s: &Option<u64>| s.is_some_and(|s| (1..TOP).contains(&s));
    fleet.until_so("most send it less", || steps(&fleet, &ALL, 1).iter().filter(|s| less(s)).count() >= 4);
    fleet.workers_of(1).into_iter().for_each(|w| fleet.workers[w].power(usual()));
    until_on(&fleet, &ALL, 1, TOP);
    fleet.judge();
}

#[test]
fn a_zone_cut_off_from_the_others_is_left_by_those_outside_alone() {
    let _place = zone_place();
    for ways in [&[true, false][..], &[false][..]] {
        let fleet = begun(64, three_zones());
        let (inside, outside) = (fleet.of_zone(2, true), fleet.of_zone(2, false));
        fleet.crossing.cut(&outside, &fleet.workers_of(2), ways);
        until_on(&fleet, &outside, 2, 0);
        assert!(all_on(&fleet, &inside, 2, TOP), "those inside go on\n{}", fleet.history);
        fleet.until_served(&ALL);
        fleet.crossing.heal();
        until_on(&fleet, &ALL, 2, TOP);
        fleet.judge();
    }
}

#[test]
fn a_zone_cut_off_with_its_dispatchers_is_left_and_goes_on_inside() {
    let _place = zone_place();
    let mut fleet = begun(65, three_zones());
    let (inside, outside) = (fleet.of_zone(2, true), fleet.of_zone(2, false));
    fleet.part(&inside, &outside);
    fleet.crossing.cut(&outside, &fleet.workers_of(2), &[true, false]);
    let others: Vec<usize> = [0, 1].into_iter().flat_map(|h| fleet.workers_of(h)).collect();
    fleet.crossing.cut(&inside, &others, &[true, false]);
    until_on(&fleet, &outside, 2, 0);
    until_on(&fleet, &inside, 0, 0);
    until_on(&fleet, &inside, 1, 0);
    assert!(all_on(&fleet, &inside, 2, TOP) && all_on(&fleet, &outside, 0, TOP), "{}", fleet.history);
    fleet.until_served(&ALL);
    fleet.heal();
    fleet.crossing.heal();
    (0..3).for_each(|h| until_on(&fleet, &ALL, h, TOP));
    all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn one_cut_off_from_everything_says_nothing_of_zones() {
    let _place = zone_place();
    let mut fleet = begun(66, three_zones());
    let rest = [0, 1, 2, 3, 4];
    fleet.crossing.cut(&[5], &ALL, &[true, false]);
    let moves: u64 = rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        fleet.until_served(&rest);
        let now: u64 = rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum();
        assert_eq!(now, moves, "it moves nobody\n{}", fleet.history);
    }
    (0..3).for_each(|h| assert!(all_on(&fleet, &ALL, h, TOP), "{}", fleet.history));
    fleet.crossing.heal();
    fleet.part(&[], &[]);
    fleet.judge();
}

#[test]
fn the_store_that_stands_still_slows_all_zones_and_none_is_left() {
    let _place = zone_place();
    let fleet = begun(67, three_zones());
    let late = Power { service: usual().service * 5, ..usual() };
    fleet.workers.iter().for_each(|w| w.power(late));
    nobody_moves(&fleet, Duration::from_secs(5));
    fleet.workers.iter().for_each(|w| w.power(usual()));
    nobody_moves(&fleet, Duration::from_secs(2));
    fleet.judge();
}

#[test]
fn a_zone_that_flaps_is_left_for_longer_each_time() {
    let _place = zone_place();
    let mut fleet = begun(68, three_zones());
    for _ in 0..4 {
        kill_zone(&mut fleet, 1);
        until_on(&fleet, &ALL, 1, 0);
        revive_zone(&mut fleet, 1);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            fleet.until_served(&ALL);
        }
    }
    // Each leaving and each step back up counts: with stays that double there is no full return between.
    let moves = (0..6).map(|n| fleet.counter(n, "zones_moves")).max().unwrap_or(0);
    assert!(moves <= 4 * 6, "{moves} moves in four flaps\n{}", fleet.history);
    none_knocked_over(&fleet);
    until_on(&fleet, &ALL, 1, TOP);
    fleet.judge();
}

#[test]
fn all_dispatchers_started_anew_one_by_one_during_a_return_knock_nobody_over() {
    let _place = zone_place();
    let mut fleet = begun(69, three_zones());
    kill_zone(&mut fleet, 0);
    until_on(&fleet, &ALL, 0, 0);
    revive_zone(&mut fleet, 0);
    for n in ALL {
        fleet.end(n);
        fleet.restart(n);
        fleet.until_served(&[n]);
    }
    until_on(&fleet, &ALL, 0, TOP);
    none_knocked_over(&fleet);
    all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn three_that_stood_still_while_a_zone_was_left_move_nothing_with_their_old_epoch() {
    let _place = zone_place();
    let mut fleet = begun(70, three_zones());
    let (still, awake) = ([1, 2, 4], [0, 3, 5]);
    still.iter().for_each(|n| fleet.stop(*n));
    kill_zone(&mut fleet, 1);
    fleet.until_so("those awake leave", || all_on(&fleet, &awake, 1, 0));
    let epochs = |fleet: &Fleet| awake.iter().filter_map(|n| fleet.step(*n, 1)).collect::<Vec<(u64, u64)>>();
    let before = epochs(&fleet);
    still.iter().for_each(|n| fleet.go_on(*n));
    until_on(&fleet, &still, 1, 0);
    for ((step, epoch), (_, old)) in epochs(&fleet).into_iter().zip(before) {
        assert!(step == 0 && epoch >= old, "nobody goes back\n{}", fleet.history);
    }
    revive_zone(&mut fleet, 1);
    still.iter().for_each(|n| fleet.stop(*n));
    fleet
        .until_so("the way back begins", || awake.iter().any(|n| fleet.step(*n, 1).is_some_and(|s| s.0 > 0)));
    still.iter().for_each(|n| fleet.go_on(*n));
    until_on(&fleet, &ALL, 1, TOP);
    none_knocked_over(&fleet);
    fleet.judge();
}

#[test]
fn a_second_zone_lost_during_the_return_of_the_first_is_left_and_the_last_is_never() {
    let _place = zone_place();
    let mut fleet = begun(71, three_zones());
    kill_zone(&mut fleet, 0);
    until_on(&fleet, &ALL, 0, 0);
    revive_zone(&mut fleet, 0);
    fleet.until_so("the way back begins", || ALL.iter().any(|n| fleet.step(*n, 0).is_some_and(|s| s.0 > 0)));
    kill_zone(&mut fleet, 1);
    until_on(&fleet, &ALL, 1, 0);
    until_on(&fleet, &ALL, 0, TOP);
    kill_zone(&mut fleet, 2);
    kill_zone(&mut fleet, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        let open = |n: usize| (0..3).any(|h| fleet.step(n, h).is_some_and(|s| s.0 > 0));
        assert!(ALL.into_iter().all(open), "never the last one\n{}", fleet.history);
    }
    [0, 1, 2].into_iter().for_each(|h| revive_zone(&mut fleet, h));
    (0..3).for_each(|h| until_on(&fleet, &ALL, h, TOP));
    fleet.judge();
}

#[test]
fn beside_an_older_version_the_others_leave_and_return() {
    let _place = zone_place();
    // One dispatcher of each zone knows nothing of zones.
    let fleet = Fleet::made(72, 6, Setup { older: vec![3, 4, 5], ..three_zones() });
    let mut fleet = fleet;
    let new = [0, 1, 2];
    fleet.until_so("all workers are used", || fleet.workers.iter().all(|w| w.tries() > 100));
    kill_zone(&mut fleet, 2);
    until_on(&fleet, &new, 2, 0);
    fleet.until_served(&ALL);
    revive_zone(&mut fleet, 2);
    until_on(&fleet, &new, 2, TOP);
    assert_eq!(fleet.call(3, "GET", "/_zones"), 404);
    all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn one_that_lies_about_zones_moves_nobody() {
    let _place = zone_place();
    let mut fleet = begun(73, three_zones());
    fleet.kill(5);
    let own = liar(&fleet);
    let rest = [0, 1, 2, 3, 4];
    let moves = |fleet: &Fleet| rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum::<u64>();
    let before = moves(&fleet);
    for round in 0..150_u64 {
        let lie = |h: usize| ZoneReport {
            zone: zone(h).into(),
            opinion: Opinion::Gone,
            epoch: round * 7,
            step: (round % 5) as u8,
            reason: Reason::Gone,
            age_ms: 0,
            answers: 99,
            rate: u32::MAX,
            peak: u32::MAX,
        };
        let bytes = Report { zones: (0..3).map(lie).collect() }.encode();
        let body = Body::Message { channel: 3, bytes };
        let packet = packet(&fleet, &own, round + 1, &body, &[]);
        rest.iter().for_each(|to| fleet.relay.forge(5, *to, &packet));
        // Paced, so that it is heard all the time and not at once.
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.until_so("all have heard it", || {
        rest.iter().all(|n| fleet.zones(*n).is_some_and(|r| r["heard"] == 5))
    });
    assert_eq!(moves(&fleet), before, "one voice moves nothing\n{}", fleet.history);
    (0..3).for_each(|h| assert!(all_on(&fleet, &rest, h, TOP), "{}", fleet.history));
    fleet.until_served(&rest);
    fleet.judge();
}

#[test]
fn an_operators_word_empties_a_zone_and_is_over_by_itself() {
    let _place = zone_place();
    let fleet = begun(74, three_zones());
    assert_eq!(fleet.call(0, "PUT", "/_zones/leave/nowhere/9"), 404);
    ALL.iter().for_each(|n| assert_eq!(fleet.call(*n, "PUT", &format!("/_zones/leave/{}/3", zone(1))), 200));
    let sent = || fleet.workers_of(1).into_iter().map(|w| fleet.workers[w].tries()).sum::<u64>();
    fleet.until_so("nothing goes there any more", || {
        let before = sent();
        fleet.until_served(&ALL);
        sent() == before
    });
    let before = sent();
    fleet.until_so("it is used again", || sent() > before + 50);
    fleet.judge();
}
