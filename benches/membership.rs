//! The membership measured: how soon a death is seen, how often a sound member is accused, and what a member says in a
//! second, by the number of members and the loss of packets; and on real processes, how soon views agree after a cut, and
//! what peers cost a client's request. Ends non-zero if a bound is missed.
//!
//! `MEMBERS=4000 cargo bench --bench membership` adds a simulated group of that many.

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

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000))
}

fn place(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

type InFlight = Reverse<(Micros, u64, usize, usize, Vec<u8>)>;

/// A simulated group: who is told of a death when, and what all say.
struct Group {
    rng: Pcg32,
    now: Micros,
    members: Vec<Option<Membership>>,
    turns: BinaryHeap<Reverse<(Micros, usize)>>,
    packets: BinaryHeap<InFlight>,
    serial: u64,
    loss: u64,
    seen: Vec<(usize, usize, State, Micros)>,
}

impl Group {
    fn new(count: usize, seed: u64) -> Group {
        let mut group = Group {
            rng: Pcg32::seed_from_u64(seed),
            now: 1_700_000_000 * S,
            members: Vec::new(),
            turns: BinaryHeap::new(),
            packets: BinaryHeap::new(),
            serial: 0,
            loss: 0,
            seen: Vec::new(),
        };
        for n in 0..count {
            let unix = group.now / MS;
            let (name, address) = (format!("n{n}").into(), at(n));
            let own = Identity {
                name,
                address,
                instance: unix << 16 | n as u64,
                incarnation: unix,
                record: Record::default(),
            };
            let set = Settings { expected_members: count, ..Settings::default() };
            group.members.push(Some(Membership::new(
                own,
                set,
                vec![at(0), at(1)],
                seed ^ n as u64,
                group.now,
            )));
            // Spread over a period, as members that run for long are.
            group.turns.push(Reverse((group.now + group.rng.next_u32() as u64 % (500 * MS), n)));
        }
        group.meet();
        group
    }

    /// All know all, by others' words.
    fn meet(&mut self) {
        let claims: Vec<Claim> = self.members.iter().flatten().map(|m| m.own().clone()).collect();
        let now = self.now;
        self.members.iter_mut().flatten().for_each(|m| m.merge_introduced(now, claims.iter()));
    }

    fn run(&mut self, until: Micros) {
        loop {
            let turn = self.turns.peek().map_or(Micros::MAX, |t| t.0.0);
            let packet = self.packets.peek().map_or(Micros::MAX, |p| p.0.0);
            let next = turn.min(packet);
            if next >= until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let n = if packet <= turn {
                let Some(Reverse((_, _, from, to, bytes))) = self.packets.pop() else { return };
                if let Some(member) = &mut self.members[to] {
                    member.handle_packet(self.now, at(from), &bytes);
                }
                to
            } else {
                let Some(Reverse((_, n))) = self.turns.pop() else { return };
                if let Some(member) = self.members[n].as_mut().filter(|m| m.next_deadline() <= self.now) {
                    member.advance(self.now);
                }
                n
            };
            self.carry(n);
        }
    }

    fn carry(&mut self, n: usize) {
        let Some(member) = &mut self.members[n] else { return };
        self.turns.push(Reverse((member.next_deadline().max(self.now + 1), n)));
        let packets: Vec<(SocketAddr, Vec<u8>)> = member.packets.drain(..).collect();
        for event in member.events.drain(..) {
            if let Event::Changed(who, _, state, _) = event
                && let Ok(of) = who[1..].parse()
            {
                self.seen.push((n, of, state, self.now));
            }
        }
        for (to, bytes) in packets {
            if u64::from(self.rng.next_u32()) % 100 >= self.loss && place(to) < self.members.len() {
                let due = self.now + 200 + u64::from(self.rng.next_u32()) % (2 * MS);
                self.serial += 1;
                self.packets.push(Reverse((due, self.serial, n, place(to), bytes)));
            }
        }
    }

    /// Packets and bytes sent, and suspicions begun.
    fn stats(&self) -> [u64; 3] {
        let all = self.members.iter().flatten().map(Membership::stats);
        all.fold([0; 3], |sum, s| [sum[0] + s.sent, sum[1] + s.sent_bytes, sum[2] + s.suspicions_started])
    }
}

/// One group under each loss, one after the other; bytes a member a second for each.
fn simulated(count: usize, losses: &[u64], missed: &mut Vec<String>) -> Vec<f64> {
    let mut group = Group::new(count, 7);
    // They meet without loss: what is measured is the group that stands.
    let (settle, quiet) = if count > 100 { (4 * S, 4 * S) } else { (20 * S, 20 * S) };
    group.run(group.now + settle);
    let mut all = Vec::new();
    for loss in losses {
        group.loss = *loss;
        // What the change itself sets off is over first.
        group.run(group.now + if *loss > 0 { 10 * S } else { 0 });
        group.seen.clear();
        let [packets, bytes, suspicions] = group.stats();
        group.run(group.now + quiet);
        let [more, much, suspected] = group.stats();
        let each = |sum: u64| sum as f64 / count as f64 / (quiet as f64 / S as f64);
        let accused = group.seen.iter().filter(|(_, _, s, _)| *s == State::Failed).count();
        let label = format!("members_{count}_loss_{loss}");
        println!("{label}_packets {:.1} a member a second", each(more - packets));
        println!("{label}_bytes {:.0} a member a second", each(much - bytes));
        println!("{label}_suspicions {} times in {} s", suspected - suspicions, quiet / S);
        println!("{label}_held_failed_falsely {accused} times in {} s", quiet / S);
        all.push(each(much - bytes));
        if *loss == 0 && accused > 0 {
            missed.push(format!("{label}: a sound member was held failed"));
        }
        if count <= 100 || *loss == 0 {
            death(&mut group, count, &label, missed);
        }
    }
    all
}

/// How soon all others see that one has died.
fn death(group: &mut Group, count: usize, label: &str, missed: &mut Vec<String>) {
    group.seen.clear();
    let (died, within) = (group.now, if count > 100 { 10 * S } else { 30 * S });
    let Some(dead) = (0..count).rev().find(|n| group.members[*n].is_some()) else { return };
    group.members[dead] = None;
    group.run(died + within);
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let first = |by: usize| {
        let mut of =
            group.seen.iter().filter(|(n, who, s, _)| *n == by && *who == dead && *s == State::Failed);
        of.next().map(|(_, _, _, when)| when - died)
    };
    let left: Vec<usize> = (0..count).filter(|n| group.members[*n].is_some()).collect();
    let told: Vec<u64> = left.iter().filter_map(|n| first(*n)).collect();
    told.iter().for_each(|t| times.record(*t / MS).expect("recorded"));
    println!("{label}_death_seen_p50 {} ms", times.value_at_quantile(0.5));
    println!("{label}_death_seen_p99 {} ms", times.value_at_quantile(0.99));
    if told.len() < left.len() {
        let unseen = left.len() - told.len();
        missed.push(format!(
            "{label}: {unseen} of {} have not seen a death within {} s",
            left.len(),
            within / S
        ));
    }
}

/// The 99th percentile of requests to two dispatchers in turn, and how the first compares: batch by batch, the median.
fn p99(one: std::net::SocketAddr, other: std::net::SocketAddr) -> (u64, u64, f64) {
    let mut clients = [Client::connect(one), Client::connect(other)];
    let (mut ratios, mut all) =
        (Vec::new(), [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram")));
    let mut seq = [0; 2];
    for batch in 0..24_u32 {
        let mut times = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram"));
        for n in 0..250_u32 {
            // Who goes first changes, so that neither always finds a warmed cache.
            for which in if n % 2 == 0 { [0, 1] } else { [1, 0] } {
                seq[which] += 1;
                let id = format!("be{which}{batch:05x}{n:08x}");
                let began = Instant::now();
                let client = &mut clients[which];
                client.try_serve(seq[which], &fields("flow-read", &id, 20_000), b"x").expect("sent");
                let got = client.receive();
                assert!(matches!(got, Some((_, Reply::Served(_)))), "served, not {got:?}");
                let took = began.elapsed().as_micros() as u64;
                times[which].record(took).expect("recorded");
                all[which].record(took).expect("recorded");
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
    // Cargo passes words of its own.
    let mut missed = Vec::new();
    let more: Option<usize> = std::env::var("MEMBERS").ok().and_then(|m| m.parse().ok());
    let losses = [0, 5, 20];
    let small = simulated(10, &losses, &mut missed);
    for count in [100, 1_000].into_iter().chain(more) {
        let large = simulated(count, &losses, &mut missed);
        for (n, loss) in losses.iter().enumerate() {
            let ratio = large[n] / small[n];
            println!("bytes_{count}_over_10_loss_{loss} {ratio:.2} ratio");
            if ratio > 1.3 {
                missed.push(format!(
                    "at {loss}% loss a member of {count} says {ratio:.2} times what one of 10 says"
                ));
            }
        }
    }
    let mut fleet = Fleet::start(1, 12);
    let (here, there): (Vec<usize>, Vec<usize>) = ((0..6).collect(), (6..12).collect());
    fleet.part(&here, &there);
    fleet.until("each half sees itself", |views| views.iter().all(|v| sees(v, 6, 6)));
    fleet.heal();
    let healed = Instant::now();
    fleet.until("all see all", |views| views.iter().all(|v| sees(v, 12, 0)));
    let agreed = healed.elapsed().as_millis();
    println!("processes_12_agree_after_heal {agreed} ms");
    if agreed > 10_000 {
        missed.push(format!("12 processes agreed only {agreed} ms after the heal"));
    }
    // Two dispatchers alike but for their peers, nothing else going on.
    fleet.quiet();
    let plain = Program::start(&fleet.config(0));
    let one = fleet.address(0).expect("it runs");
    let (with, without, ratio) = p99(one, plain.address);
    println!("p99_with_peers {with} us");
    println!("p99_without {without} us");
    println!("p99_with_over_without {ratio:.3} ratio");
    if ratio > 1.1 {
        missed.push(format!("peers make the 99th percentile {ratio:.3} times as long"));
    }
    let pids = [fleet.process(0).expect("it runs"), plain.child.id()];
    let before = pids.map(used);
    let rest = Duration::from_secs(3);
    std::thread::sleep(rest);
    let share = |n: usize| (used(pids[n]) - before[n]) as f64 / rest.as_nanos() as f64 * 100.0;
    println!("processor_at_rest_with_peers {:.3} percent", share(0));
    println!("processor_at_rest_without {:.3} percent", share(1));
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
