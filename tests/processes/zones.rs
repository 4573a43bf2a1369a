//! Zone fail-over of a fleet of real processes: three zones with two dispatchers and two workers each, and faults between
//! them.

use super::{forged_claim, forged_packet, wait_until_all_see, zone_fleet_slot};
use ochreward_membership::wire::Body;
use ochreward_rig::fleet::{Fleet, Setup, name, zone};
use ochreward_rig::load::Manner;
use ochreward_rig::worker::Power;
use ochreward_zones::{Opinion, Reason, Report, ZoneReport};
use std::time::{Duration, Instant};

const ZONE_SETTINGS: &str = "[zones]\nsilent_ms = 400\nstay_ms = 500\ndwell_ms = 200\n";
const FULL_STEP: u64 = 4;
const WARM_UP: Duration = Duration::from_secs(3);

fn normal_power() -> Power {
    Power { service: Duration::from_millis(20), lanes: 8, queue: 4_096 }
}

fn three_zones() -> Setup {
    Setup {
        power: normal_power(),
        workers: 6,
        clients: 4,
        zones: 3,
        zones_told: ZONE_SETTINGS.into(),
        warm: WARM_UP,
        // With 24 functions every worker is home to some, so that each dispatcher uses all zones whichever home of a
        // function the module chooses.
        manner: Manner { load_ms: 1, ttl_ms: 2_000, functions: 24, ..Manner::default() },
        strict: false,
        ..Setup::default()
    }
}

fn steps(fleet: &Fleet, who: &[usize], of: usize) -> Vec<Option<u64>> {
    who.iter().map(|n| fleet.step(*n, of).map(|s| s.0)).collect()
}

fn all_at_step(fleet: &Fleet, who: &[usize], of: usize, step: u64) -> bool {
    steps(fleet, who, of).iter().all(|s| *s == Some(step))
}

/// Waits until these dispatchers are at `step` of traffic to a zone.
fn wait_until_at_step(fleet: &Fleet, who: &[usize], of: usize, step: u64) {
    let names: Vec<String> = who.iter().map(|n| name(*n)).collect();
    let what = format!("{} at step {step} to {}", names.join(" "), zone(of));
    fleet.until_so(&what, || all_at_step(fleet, who, of, step));
}

/// Asserts that no dispatcher changes a zone's step during `time`, while clients are served.
fn assert_nobody_moves(fleet: &Fleet, time: Duration) {
    let moves =
        |fleet: &Fleet| -> Vec<u64> { (0..fleet.count()).map(|n| fleet.counter(n, "zones_moves")).collect() };
    let (before, began) = (moves(fleet), Instant::now());
    while began.elapsed() < time {
        fleet.until_served(&(0..fleet.count()).collect::<Vec<usize>>());
        assert_eq!(moves(fleet), before, "no step changes without cause\n{}", fleet.history);
    }
}

/// Waits until all workers are used and every dispatcher has observed every zone.
fn wait_until_all_zones_used(fleet: &Fleet) {
    let before: Vec<u64> = fleet.workers.iter().map(|w| w.tries()).collect();
    let more = |(w, before): (&ochreward_rig::worker::Worker, &u64)| w.tries() >= before + 100;
    fleet.until_so("all workers are used", || fleet.workers.iter().zip(&before).all(more));
    // Each dispatcher must have seen each zone healthy once, but not all at the same time, since the module chooses which
    // zones it uses in a given second.
    let seen = std::cell::RefCell::new(std::collections::BTreeSet::new());
    fleet.until_so("each dispatcher has seen all zones healthy", || {
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

fn start_in_use(seed: u64, setup: Setup) -> Fleet {
    let fleet = Fleet::made(seed, 6, setup);
    wait_until_all_zones_used(&fleet);
    fleet
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn kill_zone(fleet: &mut Fleet, of: usize) {
    fleet.workers_of(of).into_iter().for_each(|w| fleet.kill_worker(w));
}

fn revive_zone(fleet: &mut Fleet, of: usize) {
    fleet.workers_of(of).into_iter().for_each(|w| fleet.workers[w].restart_cold(WARM_UP));
}

fn assert_no_cold_worker_overloaded(fleet: &Fleet) {
    let overloads: Vec<u64> = fleet.workers.iter().map(|w| w.knocked_over()).collect();
    assert!(
        overloads.iter().all(|count| *count == 0),
        "cold workers got more than they can take: {overloads:?}"
    );
}

#[test]
fn a_zone_whose_workers_die_at_once_is_left_and_returns_by_slow_start() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(61, three_zones());
    kill_zone(&mut fleet, 2);
    wait_until_at_step(&fleet, &ALL, 2, 0);
    fleet.until_served(&ALL);
    let before: u64 = fleet.workers_of(2).into_iter().map(|w| fleet.workers[w].tries()).sum();
    revive_zone(&mut fleet, 2);
    wait_until_at_step(&fleet, &ALL, 2, FULL_STEP);
    assert_no_cold_worker_overloaded(&fleet);
    let after: u64 = fleet.workers_of(2).into_iter().map(|w| fleet.workers[w].tries()).sum();
    assert!(after > before, "it is used again");
    fleet.until_served(&ALL);
    fleet.judge();
}

#[test]
fn a_zone_silent_for_six_seconds_is_left_and_returned_to() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(62, three_zones());
    let workers = fleet.workers_of(0);
    workers.iter().for_each(|w| fleet.workers[*w].silent(true));
    wait_until_at_step(&fleet, &ALL, 0, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(6) {
        fleet.until_served(&ALL);
        assert!(all_at_step(&fleet, &ALL, 0, 0), "only trial requests go there\n{}", fleet.history);
    }
    kill_zone(&mut fleet, 0);
    workers.iter().for_each(|w| fleet.workers[*w].silent(false));
    revive_zone(&mut fleet, 0);
    wait_until_at_step(&fleet, &ALL, 0, FULL_STEP);
    assert_no_cold_worker_overloaded(&fleet);
    fleet.judge();
}

#[test]
fn a_slowed_zone_gets_less_traffic_but_some() {
    let _slot = zone_fleet_slot();
    let fleet = start_in_use(63, three_zones());
    let slow = Power { service: normal_power().service * 6, ..normal_power() };
    fleet.workers_of(1).into_iter().for_each(|w| fleet.workers[w].power(slow));
    let reduced = |s: &Option<u64>| s.is_some_and(|s| (1..FULL_STEP).contains(&s));
    fleet.until_so("most dispatchers send it less", || {
        steps(&fleet, &ALL, 1).iter().filter(|s| reduced(s)).count() >= 4
    });
    fleet.workers_of(1).into_iter().for_each(|w| fleet.workers[w].power(normal_power()));
    wait_until_at_step(&fleet, &ALL, 1, FULL_STEP);
    fleet.judge();
}

#[test]
fn a_partitioned_zone_is_left_only_by_dispatchers_outside_it() {
    let _slot = zone_fleet_slot();
    for ways in [&[true, false][..], &[false][..]] {
        let fleet = start_in_use(64, three_zones());
        let (inside, outside) = (fleet.of_zone(2, true), fleet.of_zone(2, false));
        fleet.crossing.cut(&outside, &fleet.workers_of(2), ways);
        wait_until_at_step(&fleet, &outside, 2, 0);
        assert!(
            all_at_step(&fleet, &inside, 2, FULL_STEP),
            "dispatchers inside keep using it\n{}",
            fleet.history
        );
        fleet.until_served(&ALL);
        fleet.crossing.heal();
        wait_until_at_step(&fleet, &ALL, 2, FULL_STEP);
        fleet.judge();
    }
}

#[test]
fn a_zone_partitioned_with_its_dispatchers_serves_on_inside() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(65, three_zones());
    let (inside, outside) = (fleet.of_zone(2, true), fleet.of_zone(2, false));
    fleet.part(&inside, &outside);
    fleet.crossing.cut(&outside, &fleet.workers_of(2), &[true, false]);
    let others: Vec<usize> = [0, 1].into_iter().flat_map(|h| fleet.workers_of(h)).collect();
    fleet.crossing.cut(&inside, &others, &[true, false]);
    wait_until_at_step(&fleet, &outside, 2, 0);
    wait_until_at_step(&fleet, &inside, 0, 0);
    wait_until_at_step(&fleet, &inside, 1, 0);
    assert!(
        all_at_step(&fleet, &inside, 2, FULL_STEP) && all_at_step(&fleet, &outside, 0, FULL_STEP),
        "{}",
        fleet.history
    );
    fleet.until_served(&ALL);
    fleet.heal();
    fleet.crossing.heal();
    (0..3).for_each(|h| wait_until_at_step(&fleet, &ALL, h, FULL_STEP));
    wait_until_all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn a_dispatcher_cut_off_from_all_workers_moves_no_zone() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(66, three_zones());
    let rest = [0, 1, 2, 3, 4];
    fleet.crossing.cut(&[5], &ALL, &[true, false]);
    let moves: u64 = rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        fleet.until_served(&rest);
        let now: u64 = rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum();
        assert_eq!(now, moves, "an isolated dispatcher moves nobody\n{}", fleet.history);
    }
    (0..3).for_each(|h| assert!(all_at_step(&fleet, &ALL, h, FULL_STEP), "{}", fleet.history));
    fleet.crossing.heal();
    fleet.part(&[], &[]);
    fleet.judge();
}

#[test]
fn a_store_stall_that_slows_all_zones_empties_none() {
    let _slot = zone_fleet_slot();
    let fleet = start_in_use(67, three_zones());
    let late = Power { service: normal_power().service * 5, ..normal_power() };
    fleet.workers.iter().for_each(|w| w.power(late));
    assert_nobody_moves(&fleet, Duration::from_secs(5));
    fleet.workers.iter().for_each(|w| w.power(normal_power()));
    assert_nobody_moves(&fleet, Duration::from_secs(2));
    fleet.judge();
}

#[test]
fn a_flapping_zone_is_left_for_longer_each_time() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(68, three_zones());
    for _ in 0..4 {
        kill_zone(&mut fleet, 1);
        wait_until_at_step(&fleet, &ALL, 1, 0);
        revive_zone(&mut fleet, 1);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            fleet.until_served(&ALL);
        }
    }
    // Each departure and each step up counts as a move. As the stay doubles, no full return fits between two flaps.
    let moves = (0..6).map(|n| fleet.counter(n, "zones_moves")).max().unwrap_or(0);
    assert!(moves <= 4 * 6, "{moves} moves in four flaps\n{}", fleet.history);
    assert_no_cold_worker_overloaded(&fleet);
    wait_until_at_step(&fleet, &ALL, 1, FULL_STEP);
    fleet.judge();
}

#[test]
fn a_rolling_restart_during_a_zones_return_overloads_no_cold_worker() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(69, three_zones());
    kill_zone(&mut fleet, 0);
    wait_until_at_step(&fleet, &ALL, 0, 0);
    revive_zone(&mut fleet, 0);
    for n in ALL {
        fleet.end(n);
        fleet.restart(n);
        fleet.until_served(&[n]);
    }
    wait_until_at_step(&fleet, &ALL, 0, FULL_STEP);
    assert_no_cold_worker_overloaded(&fleet);
    wait_until_all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn dispatchers_resumed_with_an_old_zone_epoch_move_nothing() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(70, three_zones());
    let (paused, running) = ([1, 2, 4], [0, 3, 5]);
    paused.iter().for_each(|n| fleet.stop(*n));
    kill_zone(&mut fleet, 1);
    fleet.until_so("the running dispatchers leave the zone", || all_at_step(&fleet, &running, 1, 0));
    let epochs =
        |fleet: &Fleet| running.iter().filter_map(|n| fleet.step(*n, 1)).collect::<Vec<(u64, u64)>>();
    let before = epochs(&fleet);
    paused.iter().for_each(|n| fleet.go_on(*n));
    wait_until_at_step(&fleet, &paused, 1, 0);
    for ((step, epoch), (_, old)) in epochs(&fleet).into_iter().zip(before) {
        assert!(step == 0 && epoch >= old, "no running dispatcher goes back\n{}", fleet.history);
    }
    revive_zone(&mut fleet, 1);
    paused.iter().for_each(|n| fleet.stop(*n));
    fleet
        .until_so("the return begins", || running.iter().any(|n| fleet.step(*n, 1).is_some_and(|s| s.0 > 0)));
    paused.iter().for_each(|n| fleet.go_on(*n));
    wait_until_at_step(&fleet, &ALL, 1, FULL_STEP);
    assert_no_cold_worker_overloaded(&fleet);
    fleet.judge();
}

#[test]
fn a_second_zone_lost_during_a_return_is_left_but_the_last_zone_never_is() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(71, three_zones());
    kill_zone(&mut fleet, 0);
    wait_until_at_step(&fleet, &ALL, 0, 0);
    revive_zone(&mut fleet, 0);
    fleet.until_so("the return begins", || ALL.iter().any(|n| fleet.step(*n, 0).is_some_and(|s| s.0 > 0)));
    kill_zone(&mut fleet, 1);
    wait_until_at_step(&fleet, &ALL, 1, 0);
    wait_until_at_step(&fleet, &ALL, 0, FULL_STEP);
    kill_zone(&mut fleet, 2);
    kill_zone(&mut fleet, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        let open = |n: usize| (0..3).any(|h| fleet.step(n, h).is_some_and(|s| s.0 > 0));
        assert!(ALL.into_iter().all(open), "the last zone is never left\n{}", fleet.history);
    }
    [0, 1, 2].into_iter().for_each(|h| revive_zone(&mut fleet, h));
    (0..3).for_each(|h| wait_until_at_step(&fleet, &ALL, h, FULL_STEP));
    fleet.judge();
}

#[test]
fn beside_an_older_version_newer_dispatchers_leave_and_return() {
    let _slot = zone_fleet_slot();
    // One dispatcher of each zone has no zone support.
    let fleet = Fleet::made(72, 6, Setup { older: vec![3, 4, 5], ..three_zones() });
    let mut fleet = fleet;
    let new = [0, 1, 2];
    fleet.until_so("all workers are used", || fleet.workers.iter().all(|w| w.tries() > 100));
    kill_zone(&mut fleet, 2);
    wait_until_at_step(&fleet, &new, 2, 0);
    fleet.until_served(&ALL);
    revive_zone(&mut fleet, 2);
    wait_until_at_step(&fleet, &new, 2, FULL_STEP);
    assert_eq!(fleet.call(3, "GET", "/_zones"), 404);
    wait_until_all_see(&fleet, 6);
    fleet.judge();
}

#[test]
fn forged_zone_reports_move_nobody() {
    let _slot = zone_fleet_slot();
    let mut fleet = start_in_use(73, three_zones());
    fleet.kill(5);
    let own = forged_claim(&fleet);
    let rest = [0, 1, 2, 3, 4];
    let moves = |fleet: &Fleet| rest.iter().map(|n| fleet.counter(*n, "zones_moves")).sum::<u64>();
    let before = moves(&fleet);
    for round in 0..150_u64 {
        let forged_report = |h: usize| ZoneReport {
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
        let bytes = Report { zones: (0..3).map(forged_report).collect() }.encode();
        let body = Body::Message { channel: 3, bytes };
        let packet = forged_packet(&fleet, &own, round + 1, &body, &[]);
        rest.iter().for_each(|to| fleet.relay.forge(5, *to, &packet));
        // Paced, so that reports arrive throughout and not in one burst.
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.until_so("all count the forged reporter", || {
        rest.iter().all(|n| fleet.zones(*n).is_some_and(|r| r["heard"] == 5))
    });
    assert_eq!(moves(&fleet), before, "a single report moves nothing\n{}", fleet.history);
    (0..3).for_each(|h| assert!(all_at_step(&fleet, &rest, h, FULL_STEP), "{}", fleet.history));
    fleet.until_served(&rest);
    fleet.judge();
}

#[test]
fn an_operators_leave_order_empties_a_zone_and_expires() {
    let _slot = zone_fleet_slot();
    let fleet = start_in_use(74, three_zones());
    assert_eq!(fleet.call(0, "PUT", "/_zones/leave/nowhere/9"), 404);
    ALL.iter().for_each(|n| assert_eq!(fleet.call(*n, "PUT", &format!("/_zones/leave/{}/3", zone(1))), 200));
    let sent = || fleet.workers_of(1).into_iter().map(|w| fleet.workers[w].tries()).sum::<u64>();
    fleet.until_so("nothing is sent there any more", || {
        let before = sent();
        fleet.until_served(&ALL);
        sent() == before
    });
    let before = sent();
    fleet.until_so("it is used again", || sent() > before + 50);
    fleet.judge();
}
