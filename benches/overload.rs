//! Measures overload control of a fleet of real processes, in paired runs: the served value per second (requests weighted
//! by the credit of their class) with and without the admission level, with the fleet whole and partitioned into two
//! parts, against the most that the workers can serve of the most valuable classes; attempts per first attempt with and
//! without the fleet's retry budget; the time until everything is admitted again; and the bytes that members send.
//!
//! Exits with 1 if a bound is missed, and with 2 if the machine is too slow for meaningful figures, which shows in how
//! late the simulated workers' own answers left. Clients request many functions, so that each worker is home to some:
//! with a single function, which workers are used would be chance.

use ochreward_rig::fleet::{Fleet, Setup};
use ochreward_rig::load::Manner;
use ochreward_rig::worker::Power;
use std::time::{Duration, Instant};

const CREDITS: [f64; 3] = [1.0, 2.0, 4.0];
const CLIENTS: usize = 100;
const WINDOW: Duration = Duration::from_secs(5);
/// Largest share of the simulated workers' answers that may leave late, per thousand.
const MAX_LATE_PER_MILLE: u64 = 20;
/// Value per second that four workers with four lanes and 40 ms per request can serve (400 requests), if all of it is of
/// the two most valuable classes, which clients request equally often.
const IDEAL_VALUE_PER_S: f64 = 400.0 * (2.0 + 4.0) / 2.0;

/// Returns a set-up that offers about one and a half times the workers' capacity when everything is admitted.
fn overloaded_setup(dispatchers: usize, with_level: bool) -> Setup {
    Setup {
        power: Power { service: Duration::from_millis(40), lanes: 4, queue: 4_096 },
        workers: 4,
        overload: if with_level {
            "[overload]\nqueue_ms = 100\nstay_ms = 300\n".into()
        } else {
            String::new()
        },
        credits: CREDITS,
        clients: CLIENTS / dispatchers,
        manner: Manner { stays_away: Duration::from_millis(200), functions: 24, ..Manner::default() },
        strict: false,
        ..Setup::default()
    }
}

/// Returns the value served per second, measured over one window.
fn served_value_per_s(fleet: &Fleet) -> f64 {
    let sum = || -> f64 {
        let served =
            |n: usize| fleet.classes(n).iter().zip(CREDITS).map(|(c, w)| c[0] as f64 * w).sum::<f64>();
        (0..fleet.count()).map(served).sum()
    };
    let (before, started) = (sum(), Instant::now());
    std::thread::sleep(WINDOW);
    (sum() - before) / started.elapsed().as_secs_f64()
}

/// Waits until the admission level, or without it the queue, is steady.
fn wait_until_steady() {
    std::thread::sleep(Duration::from_millis(5_000));
}

/// Returns how many answers per thousand left late, over all workers of a fleet.
fn late_per_mille(fleet: &Fleet) -> u64 {
    let sum = |(late_answers, answers): (u64, u64), one: (u64, u64)| (late_answers + one.0, answers + one.1);
    let (late_answers, answers) = fleet.workers.iter().map(|w| w.late()).fold((0, 0), sum);
    late_answers * 1_000 / answers.max(1)
}

/// Returns the attempts per first attempt of the requests that arrived in the window.
fn attempts_per_first_attempt(overload: &str) -> f64 {
    let power = Power { service: Duration::from_millis(30), lanes: 1, queue: 0 };
    let setup = Setup { power, overload: overload.into(), clients: 3, strict: false, ..Setup::default() };
    let fleet = Fleet::made(51, 5, setup);
    std::thread::sleep(WINDOW);
    let attempts = |fleet: &Fleet| fleet.workers.iter().map(|w| w.tries()).sum::<u64>();
    let (resent, _) = fleet.resent();
    let sent = attempts(&fleet);
    sent as f64 / (sent - resent).max(1) as f64
}

fn main() {
    let mut missed = Vec::new();
    let measure = |dispatchers: usize, with_level: bool, seed: u64| {
        let fleet = Fleet::made(seed, dispatchers, overloaded_setup(dispatchers, with_level));
        wait_until_steady();
        let served = served_value_per_s(&fleet);
        (fleet, served)
    };
    let (fleet, without_level) = measure(5, false, 52);
    let late_without_level = late_per_mille(&fleet);
    drop(fleet);
    let (mut fleet, with_level) = measure(5, true, 54);
    let bytes = |fleet: &Fleet| fleet.counter(1, "peers_sent_bytes");
    let (before, started) = (bytes(&fleet), Instant::now());
    fleet.part(&[0, 1], &[2, 3, 4]);
    wait_until_steady();
    let halved = served_value_per_s(&fleet);
    let bytes_per_s = (bytes(&fleet) - before) as f64 / started.elapsed().as_secs_f64();
    fleet.heal();
    fleet.fewer(1);
    let load_reduced_at = Instant::now();
    fleet.until_so("the overload level is 0 on all dispatchers", || {
        (0..5).all(|n| fleet.counter(n, "overload_level") == 0)
    });
    let recovery_ms = load_reduced_at.elapsed().as_millis();
    let late_per_mille = late_per_mille(&fleet).max(late_without_level);
    println!("answers_of_stand_ins_that_left_late {late_per_mille} in 1,000");
    println!("worth_without_level {without_level:.0} a second");
    println!("worth_with_level {with_level:.0} a second");
    println!("worth_with_level_halved {halved:.0} a second");
    println!("worth_of_an_ideal_dispatcher {IDEAL_VALUE_PER_S:.0} a second");
    println!("with_over_without {:.3} ratio", with_level / without_level);
    println!("with_over_ideal {:.3} ratio", with_level / IDEAL_VALUE_PER_S);
    println!("halved_over_ideal {:.3} ratio", halved / IDEAL_VALUE_PER_S);
    println!("all_let_in_again_after {recovery_ms} ms");
    println!("bytes_of_a_member_under_overload {bytes_per_s:.0} a second");
    for (what, ratio, least) in [
        ("whole", with_level / IDEAL_VALUE_PER_S, 0.95),
        ("halved", halved / IDEAL_VALUE_PER_S, 0.9),
        ("against none", with_level / without_level, 1.0),
    ] {
        if ratio < least {
            missed.push(format!("{what}: ratio {ratio:.3}, bound {least} at the least"));
        }
    }
    drop(fleet);
    let (without_budget, with_budget) = (
        attempts_per_first_attempt(""),
        attempts_per_first_attempt("[overload]\nresends_per_s = 5\nlease_ms = 500\n"),
    );
    println!("tries_per_first_try_without_budget {without_budget:.3} ratio");
    println!("tries_per_first_try_with_budget {with_budget:.3} ratio");
    if with_budget > 1.1 {
        missed.push(format!(
            "{with_budget:.3} attempts per first attempt with the budget, bound 1.1 at the most"
        ));
    }
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    if late_per_mille > MAX_LATE_PER_MILLE {
        eprintln!(
            "the machine is too slow: {late_per_mille} in 1,000 answers of the simulated workers left over {:?} late, bound {MAX_LATE_PER_MILLE}; the figures above are not valid",
            ochreward_rig::worker::LATE
        );
        std::process::exit(2);
    }
    std::process::exit(i32::from(!missed.is_empty()));
}
