//! What control costs a dispatcher by the size of its group, measured: hollow members (the program's own state machines on
//! real sockets, many in a process) beside six real dispatchers with workers and clients. Prints `figure value unit`, the
//! line that fits each figure over size, and writes all of it as JSON.
//!
//! `cargo bench --bench scale` takes under 50 s. `cargo bench --bench scale -- --sizes 150,500,1500 --storms --json FILE` is
//! the long form, from which `docs/CAPACITY.md` has its figures. Ends non-zero where a request was lost at a real
//! dispatcher, or a group never agreed.

mod hollow;
mod real;

use clap::Parser;
use hollow::{Answer, Ask, Handle, Setup};
use ochreward_control::admin::Request as ServiceAsk;
use ochreward_rig::capacity::{Figure, Report, Size, Storm};
use ochreward_rig::process;
use ochreward_rig::stand::{self, Names, Program};
use real::{Ground, PARTS, Part, Real, ZONES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Processes of hollow members.
const PROCESSES: usize = 10;
/// What never comes is given up after this.
const PATIENCE: Duration = Duration::from_secs(60);
/// Bytes of an answer of the name service at the most (protocol, 'The name service').
const MOST_ANSWER: f64 = 8_000.0;
/// How often what is waited for is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// The cut of the group in two lasts so long.
const CUT: Duration = Duration::from_secs(20);
/// Changes of configuration in the storm of them, and within what time.
const CHANGES: usize = 50;
const CHANGES_WITHIN: Duration = Duration::from_secs(10);

/// What control costs by the size of a group.
#[derive(Parser)]
struct Options {
    /// Members of each group, hollow and real.
    #[arg(long, value_delimiter = ',', default_values_t = [60, 200, 600])]
    sizes: Vec<usize>,
    /// Seconds for which a group at rest is watched.
    #[arg(long, default_value_t = 3)]
    window: u64,
    /// Seconds between the moment at which all know all and that window: what one that joins passes on takes its time.
    #[arg(long, default_value_t = 0)]
    settle: u64,
    /// Also play storms, on the group of this position among the sizes, from 0; the last where it is too high.
    #[arg(long)]
    storms: Option<Option<usize>>,
    /// Where to write what was measured.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Be a process of hollow members; for the benchmark's own use.
    #[arg(long, hide = true)]
    hollow: Option<String>,
    /// Cargo's own word.
    #[arg(long, hide = true)]
    bench: bool,
}

type Figures = BTreeMap<String, Figure>;

fn put(figures: &mut Figures, name: impl Into<String>, value: f64, unit: &str) {
    figures.insert(name.into(), Figure { value, unit: unit.to_string() });
}

/// Mean, for want of anything, is zero.
fn quantile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let at = ((times.len().saturating_sub(1)) as f64 * share).round() as usize;
    times.get(at).copied().unwrap_or_default()
}

/// A group of hollow and real members.
struct Group {
    members: usize,
    hollow: Vec<Handle>,
    real: Vec<Real>,
    ground: Ground,
    next_version: usize,
    lost: u64,
}

impl Group {
    fn start(members: usize) -> Group {
        let ground = Ground::new();
        let group = format!("scale-{}-{members}", std::process::id());
        let each = (members - PARTS.len()) / PROCESSES;
        let setup = |process: usize| Setup {
            process,
            members: each,
            expected: members,
            zone: ZONES[process % ZONES.len()].to_string(),
            half: process % 2,
            operator: real::operator(&group, ZONES[process % ZONES.len()], &[]),
            ports: Vec::new(),
            service: Some(ground.service.address),
            workers: ground.listed(),
        };
        let mut hollow: Vec<Handle> = (0..PROCESSES).map(|p| Handle::start(setup(p))).collect();
        let all: Vec<hollow::Introduction> = hollow.iter().flat_map(|h| h.members.clone()).collect();
        let packets = gather(&mut hollow, &Ask::Introduce(all.clone())).into_iter().flat_map(|a| match a {
            Answer::Packets(packets) => packets,
            _ => Vec::new(),
        });
        let packets = packets.collect();
        gather(&mut hollow, &Ask::Hear(packets));
        let seeds: Vec<SocketAddr> = all.iter().step_by(each.max(1)).take(3).map(|m| m.address).collect();
        let start = |n| Real::start(&ground, n, each * PROCESSES + PARTS.len(), &group, &seeds);
        let real: Vec<Real> = (0..PARTS.len()).map(start).collect();
        let members = each * PROCESSES + real.iter().filter(|r| r.meets()).count();
        Group { members, hollow, real, ground, next_version: 1, lost: 0 }
    }

    /// Members whose membership is to be asked after.
    fn meeting(&self) -> impl Iterator<Item = &Real> {
        self.real.iter().filter(|r| r.meets())
    }

    /// Waits until all hold so many for alive, and the real ones have heard each of the others.
    fn until_agreed(&mut self, alive: usize) -> Option<Duration> {
        let began = Instant::now();
        let names: Vec<String> = self.meeting().map(|r| r.name.clone()).collect();
        loop {
            let counts = gather(&mut self.hollow, &Ask::Alive).into_iter().flat_map(|a| match a {
                Answer::Counts(counts) => counts,
                _ => Vec::new(),
            });
            let hollow = counts.filter(|count| *count != alive).count();
            let real = self.meeting().filter(|r| r.counters()["peers_alive"] != alive as u64).count();
            if hollow == 0 && real == 0 {
                return Some(began.elapsed());
            }
            if began.elapsed() > PATIENCE {
                eprintln!(
                    "never agreed on {alive}: {hollow} hollow and {real} real members see another number"
                );
                return None;
            }
            gather(&mut self.hollow, &Ask::Greet(names.clone()));
            std::thread::sleep(LOOK);
        }
    }

    /// Clients go, and what they were not served is counted.
    fn rest(&mut self, resting: bool) {
        for real in &self.real {
            real.asker.moved((!resting).then_some(real.program.address));
        }
        if resting {
            std::thread::sleep(Duration::from_millis(300));
        }
    }

    fn publish(&mut self) -> Option<u64> {
        self.next_version += 1;
        let document = format!("[fleet.settings.limits]\nmax_open = {}\n", 900 + self.next_version);
        let at = hollow::unix_us();
        let ask = ServiceAsk::Publish { at_once: true };
        real::ask_service(self.ground.service.address, &ask, Some(&document)).map(|_| at)
    }

    /// When subscribers ran versions since this was last asked.
    fn ran(&mut self) -> Vec<u64> {
        times(gather(&mut self.hollow, &Ask::Ran))
    }

    /// What the members of each hollow process have sent: packets, bytes, and bytes of reports on zones.
    fn sent(&mut self) -> Vec<[u64; 3]> {
        let of = |answer| match answer {
            Answer::Sent(packets, bytes, zones) => [packets, bytes, zones],
            _ => [0; 3],
        };
        gather(&mut self.hollow, &Ask::Sent).into_iter().map(of).collect()
    }

    /// The same for each member since then; a process that began anew meanwhile counts from its start.
    fn sent_since(&mut self, before: &[[u64; 3]]) -> [f64; 3] {
        let members = self.hollow.iter().map(|h| h.members.len()).sum::<usize>().max(1) as f64;
        let after = self.sent();
        let since = |n: usize| {
            let more = after.iter().zip(before).map(|(a, b)| a[n].checked_sub(b[n]).unwrap_or(a[n]));
            more.sum::<u64>() as f64 / members
        };
        [since(0), since(1), since(2)]
    }

    /// Ends all clients: requests that were not served, or whose connection broke.
    fn end(mut self) -> u64 {
        let lost = self.real.drain(..).map(|real| {
            let [asked, served, other, broken] = real.asker.end();
            if other + broken > 0 {
                eprintln!(
                    "{} ({:?}): {asked} asked, {served} served, {other} refused or failed, {broken} broken",
                    real.name, real.part
                );
            }
            other + broken
        });
        self.lost + lost.sum::<u64>()
    }
}

fn times(answers: Vec<Answer>) -> Vec<u64> {
    let times = answers.into_iter().flat_map(|a| match a {
        Answer::Times(times) => times,
        _ => Vec::new(),
    });
    times.collect()
}

/// Asks all processes at once.
fn gather(hollow: &mut [Handle], ask: &Ask) -> Vec<Answer> {
    hollow.iter_mut().for_each(|h| h.put(ask));
    hollow.iter().map(Handle::answer).collect()
}

impl Real {
    fn meets(&self) -> bool {
        !matches!(self.part, Part::Nothing | Part::Configuration)
    }
}

/// What the real dispatchers and the control service use in a window without requests.
fn at_rest(group: &mut Group, window: Duration, figures: &mut Figures) {
    group.rest(true);
    let counters: Vec<BTreeMap<String, u64>> = group.real.iter().map(Real::counters).collect();
    let service = group.ground.service.child.id();
    let before: Vec<u64> = group.real.iter().map(Real::used).collect();
    let service_before = process::used(service);
    let hollow_before = group.sent();
    std::thread::sleep(window);
    let seconds = window.as_secs_f64();
    let share =
        |after: u64, before: u64| after.saturating_sub(before) as f64 / window.as_nanos() as f64 * 100.0;
    let used: Vec<f64> = group.real.iter().zip(&before).map(|(r, b)| share(r.used(), *b)).collect();
    let service_used = share(process::used(service), service_before);
    let after: Vec<BTreeMap<String, u64>> = group.real.iter().map(Real::counters).collect();
    let of = |part: Part| PARTS.iter().position(|p| *p == part).unwrap_or_default();
    let rate = |part: Part, name: &str| {
        let n = of(part);
        after[n][name].saturating_sub(counters[n][name]) as f64 / seconds
    };
    let parts = [
        ("discovery", Part::Nothing, None),
        ("membership", Part::Membership, Some(Part::Nothing)),
        ("budgets", Part::Budgets, Some(Part::Membership)),
        ("zones", Part::Zones, Some(Part::Membership)),
        ("configuration", Part::Configuration, Some(Part::Nothing)),
        ("all", Part::All, None),
    ];
    for (name, part, without) in parts {
        let less = without.map_or(0.0, |w| used[of(w)]);
        put(figures, format!("processor_{name}"), (used[of(part)] - less).max(0.0), "% of a core");
        let memory = |part: Part| process::resident(group.real[of(part)].program.child.id()) as f64 / 1e6;
        let less = without.map_or(0.0, memory);
        put(figures, format!("memory_{name}"), (memory(part) - less).max(0.0), "MB");
    }
    for (name, part) in [("membership", Part::Membership), ("all", Part::All)] {
        for (direction, packets, bytes) in
            [("out", "peers_sent", "peers_sent_bytes"), ("in", "peers_received", "peers_received_bytes")]
        {
            put(figures, format!("packets_{name}_{direction}"), rate(part, packets), "a second");
            put(figures, format!("bytes_{name}_{direction}"), rate(part, bytes), "bytes a second");
        }
    }
    for (name, part, counter) in [
        ("budgets_out", Part::Budgets, "overload_sent_bytes"),
        ("zones_out", Part::Zones, "zones_sent_bytes"),
        ("configuration_out", Part::Configuration, "stream_sent_bytes"),
        ("configuration_in", Part::Configuration, "stream_received_bytes"),
        ("discovery_out", Part::Nothing, "dns_sent_bytes"),
        ("discovery_in", Part::Nothing, "dns_received_bytes"),
    ] {
        put(figures, format!("bytes_{name}"), rate(part, counter), "bytes a second");
    }
    let hollow = group.sent_since(&hollow_before).map(|each| each / seconds);
    put(figures, "hollow_packets_out", hollow[0], "a second and member");
    put(figures, "hollow_bytes_out", hollow[1], "bytes a second and member");
    put(figures, "hollow_zone_report_bytes_out", hollow[2], "bytes a second and member");
    put(figures, "service_processor", service_used, "% of a core");
    put(figures, "service_memory", process::resident(service) as f64 / 1e6, "MB");
    group.rest(false);
}

/// How soon all know that a member has died.
fn death(group: &mut Group, figures: &mut Figures) -> bool {
    let dead = group.hollow[1].members.last().map(|m| m.name.clone()).unwrap_or_default();
    group.hollow[1].ask(&Ask::Die(dead.clone()));
    let died = hollow::unix_us();
    let wanted = group.hollow.iter().map(|h| h.members.len()).sum::<usize>() - 1;
    let began = Instant::now();
    loop {
        let seen = times(gather(&mut group.hollow, &Ask::WhenFailed(dead.clone())));
        if seen.len() >= wanted {
            let mut after: Vec<f64> = seen.iter().map(|t| t.saturating_sub(died) as f64 / 1e3).collect();
            put(figures, "death_known_p50", quantile(&mut after, 0.5), "ms");
            put(figures, "death_known_p99", quantile(&mut after, 0.99), "ms");
            group.members -= 1;
            return true;
        }
        if began.elapsed() > PATIENCE {
            eprintln!("{} of {wanted} members never knew of a death", wanted - seen.len());
            return false;
        }
        std::thread::sleep(LOOK);
    }
}

/// How soon a change of configuration is in force at all subscribers.
fn change(group: &mut Group, figures: &mut Figures) -> bool {
    let subscribers: usize = group.hollow.iter().map(|h| h.setup.members).sum();
    group.ran();
    let Some(published) = group.publish() else { return false };
    let mut ran = Vec::new();
    let began = Instant::now();
    while ran.len() < subscribers {
        if began.elapsed() > PATIENCE {
            eprintln!("{} of {subscribers} never ran a change", subscribers - ran.len());
            return false;
        }
        ran.extend(group.ran());
        std::thread::sleep(LOOK / 5);
    }
    let mut after: Vec<f64> = ran.iter().map(|t| t.saturating_sub(published) as f64 / 1e3).collect();
    put(figures, "change_in_force_p50", quantile(&mut after, 0.5), "ms");
    put(figures, "change_in_force_p99", quantile(&mut after, 0.99), "ms");
    true
}

/// Bytes of an answer of the name service: for each executor in it, and how many fit the most that the protocol allows.
fn discovery(report: &mut Report) {
    const FEW: usize = 10;
    const MANY: usize = 40;
    let bytes = |executors: usize| {
        let names = Names::start();
        let ids: Vec<String> = (0..executors).map(|n| format!("s-{n:08x}")).collect();
        let at = SocketAddr::from(([127, 0, 0, 1], 1));
        let list: Vec<(&str, SocketAddr, u16)> = ids.iter().map(|id| (id.as_str(), at, 0)).collect();
        names.set(2, &list);
        let program = Program::start(&stand::config_at(&[at], &names));
        stand::until("an answer of the name service", || program.counters()["dns_answers"] >= 5);
        let counters = program.counters();
        counters["dns_received_bytes"] as f64 / counters["dns_answers"] as f64
    };
    let (few, many) = (bytes(FEW), bytes(MANY));
    let each = (many - few) / (MANY - FEW) as f64;
    let mut figures = Figures::new();
    put(&mut figures, "bytes_an_executor", each, "bytes");
    put(&mut figures, "executors_in_an_answer", (MOST_ANSWER - (few - each * FEW as f64)) / each, "at most");
    print("discovery", &figures);
    report.storms.push(Storm { name: "an answer of the name service".to_string(), members: 1, figures });
}

/// What a storm costs the real dispatcher that has all parts switched on.
struct Meter {
    began: Instant,
    used: u64,
    counters: BTreeMap<String, u64>,
    sent: Vec<[u64; 3]>,
}

impl Meter {
    fn start(group: &mut Group) -> Meter {
        let real = &group.real[PARTS.len() - 1];
        let (used, counters) = (real.used(), real.counters());
        Meter { began: Instant::now(), used, counters, sent: group.sent() }
    }

    fn read(&self, group: &mut Group, figures: &mut Figures) {
        let real = &group.real[PARTS.len() - 1];
        let after = real.counters();
        let more = |name: &str| after[name].saturating_sub(self.counters[name]) as f64;
        put(figures, "seconds", self.began.elapsed().as_secs_f64(), "s");
        put(figures, "processor", (real.used() - self.used) as f64 / 1e6, "ms in all");
        put(figures, "packets_in", more("peers_received"), "in all");
        put(figures, "bytes_in", more("peers_received_bytes"), "bytes in all");
        put(figures, "packets_out", more("peers_sent"), "in all");
        put(figures, "bytes_out", more("peers_sent_bytes"), "bytes in all");
        let hollow = group.sent_since(&self.sent);
        put(figures, "hollow_packets_out", hollow[0], "a member");
        put(figures, "hollow_bytes_out", hollow[1], "bytes a member");
        put(figures, "hollow_zone_report_bytes", hollow[2], "bytes a member");
    }
}

/// A tenth of the group is restarted at once, under the same names and ports.
fn storm_restarts(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = Meter::start(group);
    let last = group.hollow.len() - 1;
    group.hollow[last].kill();
    let ports = group.hollow[last].members.iter().map(|m| m.address.port()).collect();
    let setup = Setup { ports, ..group.hollow[last].setup.clone() };
    group.hollow[last] = Handle::start(setup);
    // They know all by their seeds only: here the whole list stands in for those.
    let all: Vec<hollow::Introduction> = group.hollow.iter().flat_map(|h| h.members.clone()).collect();
    gather(&mut group.hollow, &Ask::Introduce(all));
    let agreed = group.until_agreed(group.members)?;
    put(&mut figures, "agreed_after", agreed.as_secs_f64(), "s");
    meter.read(group, &mut figures);
    Some(figures)
}

/// The workers of a zone fall silent, and come back.
fn storm_zone(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = Meter::start(group);
    let zone = ZONES[2].to_string();
    gather(&mut group.hollow, &Ask::LoseZone(Some(zone)));
    std::thread::sleep(Duration::from_secs(5));
    gather(&mut group.hollow, &Ask::LoseZone(None));
    std::thread::sleep(Duration::from_secs(10));
    meter.read(group, &mut figures);
    Some(figures)
}

/// The group is cut in two, and heals.
fn storm_cut(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = Meter::start(group);
    gather(&mut group.hollow, &Ask::Cut(true));
    std::thread::sleep(CUT);
    let mut during = Figures::new();
    meter.read(group, &mut during);
    gather(&mut group.hollow, &Ask::Cut(false));
    let agreed = group.until_agreed(group.members)?;
    put(&mut figures, "agreed_after_heal", agreed.as_secs_f64(), "s");
    meter.read(group, &mut figures);
    Some(figures)
}

/// Many changes of configuration in a short time.
fn storm_changes(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let (meter, service) = (Meter::start(group), group.ground.service.child.id());
    let before = process::used(service);
    let subscribers: usize = group.hollow.iter().map(|h| h.setup.members).sum();
    group.ran();
    let (began, mut last) = (Instant::now(), 0);
    for n in 0..CHANGES {
        std::thread::sleep((CHANGES_WITHIN * n as u32 / CHANGES as u32).saturating_sub(began.elapsed()));
        last = group.publish()?;
    }
    let mut ran = Vec::new();
    // Changes that follow each other closely may be taken as one: the last one counts.
    while ran.iter().filter(|t| **t >= last).count() < subscribers {
        if began.elapsed() > PATIENCE {
            let never = subscribers - ran.iter().filter(|t| **t >= last).count().min(subscribers);
            eprintln!("{never} of {subscribers} never ran the last change");
            break;
        }
        ran.extend(group.ran());
        std::thread::sleep(LOOK);
    }
    let mut after: Vec<f64> = ran.iter().filter(|t| **t >= last).map(|t| (t - last) as f64 / 1e3).collect();
    put(&mut figures, "last_in_force_p99", quantile(&mut after, 0.99), "ms");
    put(&mut figures, "service_processor", (process::used(service) - before) as f64 / 1e6, "ms in all");
    meter.read(group, &mut figures);
    Some(figures)
}

fn print(prefix: &str, figures: &Figures) {
    for (name, figure) in figures {
        println!("{prefix}_{name} {:.3} {}", figure.value, figure.unit);
    }
}

fn main() {
    let options = Options::parse();
    if let Some(setup) = options.hollow {
        return hollow::run(serde_json::from_str(&setup).expect("a setup"));
    }
    let began = Instant::now();
    let mut report =
        Report { cores: std::thread::available_parallelism().map_or(1, usize::from), ..Report::default() };
    let mut missed = Vec::new();
    discovery(&mut report);
    let with_storms =
        options.storms.map(|at| at.unwrap_or(usize::MAX).min(options.sizes.len().saturating_sub(1)));
    for (position, members) in options.sizes.iter().enumerate() {
        let mut group = Group::start(*members);
        let mut figures = Figures::new();
        let mut holds = group.until_agreed(group.members).is_some();
        std::thread::sleep(Duration::from_secs(options.settle));
        at_rest(&mut group, Duration::from_secs(options.window), &mut figures);
        holds &= change(&mut group, &mut figures);
        holds &= death(&mut group, &mut figures);
        print(&format!("members_{}", group.members + 1), &figures);
        report.sizes.push(Size { members: group.members + 1, figures });
        if with_storms == Some(position) {
            type Play = fn(&mut Group) -> Option<Figures>;
            let storms: [(&str, Play); 4] = [
                ("a tenth restarted at once", storm_restarts),
                ("a zone gone and back", storm_zone),
                ("cut in two for 20 s", storm_cut),
                ("50 changes in 10 s", storm_changes),
            ];
            for (name, play) in storms {
                let Some(figures) = play(&mut group) else {
                    missed.push(format!("{name}: did not come to its end"));
                    continue;
                };
                print(&name.replace(' ', "_"), &figures);
                report.storms.push(Storm { name: name.to_string(), members: group.members, figures });
            }
        }
        let lost = group.end();
        println!("members_{members}_requests_lost {lost} requests");
        if lost > 0 {
            missed.push(format!("{members} members: {lost} requests were not served"));
        }
        if !holds {
            missed.push(format!("{members} members: never came to rest"));
        }
    }
    for (name, (fit, unit)) in report.fits() {
        println!(
            "fit_{name} {:?} constant {:.4} slope {:.6} residual {:.3} ({unit})",
            fit.growth, fit.constant, fit.slope, fit.residual
        );
    }
    println!("run_time {:.1} s", began.elapsed().as_secs_f64());
    if let Some(path) = options.json {
        let json = serde_json::to_string_pretty(&report).expect("JSON");
        std::fs::write(&path, json + "\n").expect("written");
    }
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
