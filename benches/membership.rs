//! Measures the membership protocol. In simulation, by group size and packet loss: the time until a failure is detected,
//! the rate of false positives, and the traffic of a member. On real processes: the time until views agree after a
//! partition has healed, and what the membership adds to the latency of a client's request and to the processor time at
//! rest. Exits non-zero if a bound is missed.
//!
//! `MEMBERS=4000 cargo bench --bench membership` adds a simulated group of that size.

use hdrhistogram::Histogram;
use ochreward_membership::{Claim, Event, Identity, Membership, Micros, Record, Settings, State};
use ochreward_rig::fleet::{Fleet, sees};
use ochreward_rig::process::used;
use ochreward_rig::stand::{Client, Program, Reply, fields};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Returns the simulated address of member `n`; [`index_of`] is its inverse.
fn address_of(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

/// A packet under way: due time, serial number (orders packets that are due at the same time), sender, receiver, bytes.
type InFlight = Reverse<(Micros, u64, usize, usize, Vec<u8>)>;

/// A simulated group in simulated time, with the packets under way between its members and the state changes that each
/// member reported.
struct Group {
    rng: Pcg32,
    now: Micros,
    members: Vec<Option<Membership>>,
    timers: BinaryHeap<Reverse<(Micros, usize)>>,
    packets: BinaryHeap<InFlight>,
    packet_serial: u64,
    loss_percent: u64,
    /// Observer, subject, new state and time.
    state_changes: Vec<(usize, usize, State, Micros)>,
}

impl Group {
    fn new(count: usize, seed: u64) -> Group {
        let mut group = Group {
            rng: Pcg32::seed_from_u64(seed),
            now: 1_700_000_000 * SECOND,
            members: Vec::new(),
            timers: BinaryHeap::new(),
            packets: BinaryHeap::new(),
            packet_serial: 0,
            loss_percent: 0,
            state_changes: Vec::new(),
        };
        for n in 0..count {
            let unix = group.now / MILLISECOND;
            let (name, address) = (format!("n{n}").into(), address_of(n));
            let own = Identity {
                name,
                address,
                instance: unix << 16 | n as u64,
                incarnation: unix,
                record: Record::default(),
            };
            let settings = Settings { expected_members: count, ..Settings::default() };
            group.members.push(Some(Membership::new(
                own,
                settings,
                vec![address_of(0), address_of(1)],
                seed ^ n as u64,
                group.now,
            )));
            // Spreads the probes over one period, as in a group that has been running for long.
            group.timers.push(Reverse((group.now + group.rng.next_u32() as u64 % (500 * MILLISECOND), n)));
        }
        group.introduce_all();
        group
    }

    /// Introduces all members to each other.
    fn introduce_all(&mut self) {
        let claims: Vec<Claim> = self.members.iter().flatten().map(|m| m.own().clone()).collect();
        let now = self.now;
        self.members.iter_mut().flatten().for_each(|m| m.merge_introduced(now, claims.iter()));
    }

    fn run(&mut self, until: Micros) {
        loop {
            let timer = self.timers.peek().map_or(Micros::MAX, |t| t.0.0);
            let packet = self.packets.peek().map_or(Micros::MAX, |p| p.0.0);
            let next = timer.min(packet);
            if next >= until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let n = if packet <= timer {
                let Some(Reverse((_, _, from, to, bytes))) = self.packets.pop() else { return };
                if let Some(member) = &mut self.members[to] {
                    member.handle_packet(self.now, address_of(from), &bytes);
                }
                to
            } else {
                let Some(Reverse((_, n))) = self.timers.pop() else { return };
                if let Some(member) = self.members[n].as_mut().filter(|m| m.next_deadline() <= self.now) {
                    member.advance(self.now);
                }
                n
            };
            self.deliver_output(n);
        }
    }

    fn deliver_output(&mut self, n: usize) {
        let Some(member) = &mut self.members[n] else { return };
        self.timers.push(Reverse((member.next_deadline().max(self.now + 1), n)));
        let packets: Vec<(SocketAddr, Vec<u8>)> = member.packets.drain(..).collect();
        for event in member.events.drain(..) {
            if let Event::Changed(who, _, state, _) = event
                && let Ok(of) = who[1..].parse()
            {
                self.state_changes.push((n, of, state, self.now));
            }
        }
        for (to, bytes) in packets {
            if u64::from(self.rng.next_u32()) % 100 >= self.loss_percent && index_of(to) < self.members.len()
            {
                let due = self.now + 200 + u64::from(self.rng.next_u32()) % (2 * MILLISECOND);
                self.packet_serial += 1;
                self.packets.push(Reverse((due, self.packet_serial, n, index_of(to), bytes)));
            }
        }
    }

    /// Returns packets sent, bytes sent and suspicions started, over all members.
    fn stats(&self) -> [u64; 3] {
        let all = self.members.iter().flatten().map(Membership::stats);
        all.fold([0; 3], |sum, s| [sum[0] + s.sent, sum[1] + s.sent_bytes, sum[2] + s.suspicions_started])
    }
}

/// Runs one group under each packet loss in turn (in percent) and returns the bytes per member and second for each.
fn run_simulation(count: usize, losses: &[u64], missed: &mut Vec<String>) -> Vec<f64> {
    let mut group = Group::new(count, 7);
    // The members are introduced without loss: only the steady state is measured.
    let (settle, window) = if count > 100 { (4 * SECOND, 4 * SECOND) } else { (20 * SECOND, 20 * SECOND) };
    group.run(group.now + settle);
    let mut all = Vec::new();
    for loss_percent in losses {
        group.loss_percent = *loss_percent;
        // Lets the effects of the change of loss end before the measurement.
        group.run(group.now + if *loss_percent > 0 { 10 * SECOND } else { 0 });
        group.state_changes.clear();
        let [packets, bytes, suspicions] = group.stats();
        group.run(group.now + window);
        let [packets_after, bytes_after, suspicions_after] = group.stats();
        let each = |sum: u64| sum as f64 / count as f64 / (window as f64 / SECOND as f64);
        let declared_failed = group.state_changes.iter().filter(|(_, _, s, _)| *s == State::Failed).count();
        let label = format!("members_{count}_loss_{loss_percent}");
        println!("{label}_packets {:.1} a member a second", each(packets_after - packets));
        println!("{label}_bytes {:.0} a member a second", each(bytes_after - bytes));
        println!("{label}_suspicions {} times in {} s", suspicions_after - suspicions, window / SECOND);
        println!("{label}_held_failed_falsely {declared_failed} times in {} s", window / SECOND);
        all.push(each(bytes_after - bytes));
        if *loss_percent == 0 && declared_failed > 0 {
            missed.push(format!("{label}: a live member was declared failed"));
        }
        if count <= 100 || *loss_percent == 0 {
            measure_failure_detection(&mut group, count, &label, missed);
        }
    }
    all
}

/// Stops one member and measures how soon all others see it as failed.
fn measure_failure_detection(group: &mut Group, count: usize, label: &str, missed: &mut Vec<String>) {
    group.state_changes.clear();
    let (stopped_at, limit) = (group.now, if count > 100 { 10 * SECOND } else { 30 * SECOND });
    let Some(stopped) = (0..count).rev().find(|n| group.members[*n].is_some()) else { return };
    group.members[stopped] = None;
    group.run(stopped_at + limit);
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let first = |by: usize| {
        let mut of = group
            .state_changes
            .iter()
            .filter(|(n, who, s, _)| *n == by && *who == stopped && *s == State::Failed);
        of.next().map(|(_, _, _, when)| when - stopped_at)
    };
    let survivors: Vec<usize> = (0..count).filter(|n| group.members[*n].is_some()).collect();
    let detection_times: Vec<u64> = survivors.iter().filter_map(|n| first(*n)).collect();
    detection_times.iter().for_each(|t| times.record(*t / MILLISECOND).expect("recorded"));
    println!("{label}_death_seen_p50 {} ms", times.value_at_quantile(0.5));
    println!("{label}_death_seen_p99 {} ms", times.value_at_quantile(0.99));
    if detection_times.len() < survivors.len() {
        let undetected = survivors.len() - detection_times.len();
        missed.push(format!(
            "{label}: {undetected} of {} members did not detect a failure within {} s",
            survivors.len(),
            limit / SECOND
        ));
    }
}

/// Sends requests to two dispatchers in turn; returns the 99th percentile of each in microseconds, and the median over the
/// batches of the first's 99th percentile relative to the other's.
fn compare_p99(one: std::net::SocketAddr, other: std::net::SocketAddr) -> (u64, u64, f64) {
    let mut clients = [Client::connect(one), Client::connect(other)];
    let (mut ratios, mut all) =
        (Vec::new(), [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram")));
    let mut sequence = [0; 2];
    for batch in 0..24_u32 {
        let mut times = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram"));
        for n in 0..250_u32 {
            // Alternates which dispatcher goes first, so that neither always profits from warmed caches.
            for which in if n % 2 == 0 { [0, 1] } else { [1, 0] } {
                sequence[which] += 1;
                let id = format!("be{which}{batch:05x}{n:08x}");
                let started = Instant::now();
                let client = &mut clients[which];
                client.try_serve(sequence[which], &fields("flow-read", &id, 20_000), b"x").expect("sent");
                let reply = client.receive();
                assert!(matches!(reply, Some((_, Reply::Served(_)))), "request was not served: {reply:?}");
                let elapsed_us = started.elapsed().as_micros() as u64;
                times[which].record(elapsed_us).expect("recorded");
                all[which].record(elapsed_us).expect("recorded");
            }
        }
        let [one, other] = times.map(|t| t.value_at_quantile(0.99) as f64);
        ratios.push(one / other);
    }
    ratios.sort_by(f64::total_cmp);
    let [one, other] = all.map(|t| t.value_at_quantile(0.99));
    (one, other, ratios[ratios.len() / 2])
}

fn main() {
    // Options come from the environment, as cargo passes arguments of its own.
    let mut missed = Vec::new();
    let extra_size: Option<usize> = std::env::var("MEMBERS").ok().and_then(|m| m.parse().ok());
    let losses = [0, 5, 20];
    let small = run_simulation(10, &losses, &mut missed);
    for count in [100, 1_000].into_iter().chain(extra_size) {
        let large = run_simulation(count, &losses, &mut missed);
        for (n, loss_percent) in losses.iter().enumerate() {
            let ratio = large[n] / small[n];
            println!("bytes_{count}_over_10_loss_{loss_percent} {ratio:.2} ratio");
            if ratio > 1.3 {
                missed.push(format!(
                    "at {loss_percent}% loss a member of {count} sends {ratio:.2} times the bytes of one of 10, bound 1.3"
                ));
            }
        }
    }
    let mut fleet = Fleet::start(1, 12);
    let (first_half, second_half): (Vec<usize>, Vec<usize>) = ((0..6).collect(), (6..12).collect());
    fleet.part(&first_half, &second_half);
    fleet.until("each half sees only itself alive", |views| views.iter().all(|v| sees(v, 6, 6)));
    fleet.heal();
    let healed = Instant::now();
    fleet.until("all members see each other alive", |views| views.iter().all(|v| sees(v, 12, 0)));
    let agreed_ms = healed.elapsed().as_millis();
    println!("processes_12_agree_after_heal {agreed_ms} ms");
    if agreed_ms > 10_000 {
        missed
            .push(format!("12 processes agreed {agreed_ms} ms after the partition healed, bound 10,000 ms"));
    }
    // Compares two dispatchers that differ only in the membership, with all other clients stopped.
    fleet.quiet();
    let plain = Program::start(&fleet.config(0));
    let one = fleet.address(0).expect("it runs");
    let (with, without, ratio) = compare_p99(one, plain.address);
    println!("p99_with_peers {with} us");
    println!("p99_without {without} us");
    println!("p99_with_over_without {ratio:.3} ratio");
    if ratio > 1.1 {
        missed
            .push(format!("with the membership the 99th percentile is {ratio:.3} times as long, bound 1.1"));
    }
    let pids = [fleet.process(0).expect("it runs"), plain.child.id()];
    let before = pids.map(used);
    let idle = Duration::from_secs(3);
    std::thread::sleep(idle);
    let share = |n: usize| (used(pids[n]) - before[n]) as f64 / idle.as_nanos() as f64 * 100.0;
    println!("processor_at_rest_with_peers {:.3} percent", share(0));
    println!("processor_at_rest_without {:.3} percent", share(1));
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
