//! Measures the control-plane cost of a dispatcher by the size of its group: hollow members (the program's own state
//! machines on real sockets, many per process) alongside six real dispatchers with workers and clients. Prints
//! `figure value unit` and the line fitted to each figure over group size, and with `--json` writes the results as JSON.
//!
//! `cargo bench --bench scale` takes under 50 s. `cargo bench --bench scale -- --sizes 150,500,1500 --storms --json FILE`
//! is the long form and the source of the figures in `docs/CAPACITY.md`. Exits non-zero if a real dispatcher lost a
//! request or a group never converged.

mod hollow;
mod real;

use clap::Parser;
use hollow::{Command, Handle, Response, Setup};
use ochreward_control::admin::Request as ServiceCommand;
use ochreward_rig::capacity::{Figure, Report, Size, Storm};
use ochreward_rig::process;
use ochreward_rig::stand::{self, Names, Program};
use real::{Environment, FEATURE_SETS, FeatureSet, RealDispatcher, ZONES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Number of processes that run hollow members.
const PROCESSES: usize = 10;
/// How long each step waits for the group to converge before it counts as failed.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer of the name service in bytes (protocol, 'The name service').
const MAX_NAME_ANSWER_BYTES: f64 = 8_000.0;
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the network partition of the group lasts.
const PARTITION_DURATION: Duration = Duration::from_secs(20);
/// Number of changes in the storm of configuration changes, and the time over which they are spread.
const STORM_CHANGES: usize = 50;
const STORM_CHANGES_DURATION: Duration = Duration::from_secs(10);

/// Measures the control-plane cost of a dispatcher by the size of its group.
#[derive(Parser)]
struct Options {
    /// Number of members of each group, hollow and real.
    #[arg(long, value_delimiter = ',', default_values_t = [60, 200, 600])]
    sizes: Vec<usize>,
    /// Length in seconds of the measurement window without client requests.
    #[arg(long, default_value_t = 3)]
    window: u64,
    /// Seconds between convergence of the group and that window, for the gossip about new members to end.
    #[arg(long, default_value_t = 0)]
    settle: u64,
    /// Also run the storms, on the group at this index of the sizes (from 0; the last one if too high or not given).
    #[arg(long)]
    storms: Option<Option<usize>>,
    /// File to which the results are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Run as a process of hollow members, from this set-up in JSON; used by the benchmark itself.
    #[arg(long, hide = true)]
    hollow: Option<String>,
    /// Passed by cargo; ignored.
    #[arg(long, hide = true)]
    bench: bool,
}

type Figures = BTreeMap<String, Figure>;

fn record_figure(figures: &mut Figures, name: impl Into<String>, value: f64, unit: &str) {
    figures.insert(name.into(), Figure { value, unit: unit.to_string() });
}

/// Returns the quantile of the times, or 0 if there are none.
fn quantile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let at = ((times.len().saturating_sub(1)) as f64 * share).round() as usize;
    times.get(at).copied().unwrap_or_default()
}

/// A group of hollow and real members with the services that they share.
struct Group {
    members: usize,
    hollow: Vec<Handle>,
    real: Vec<RealDispatcher>,
    environment: Environment,
    next_version: usize,
    lost: u64,
}

impl Group {
    fn start(members: usize) -> Group {
        let environment = Environment::new();
        let group = format!("scale-{}-{members}", std::process::id());
        let per_process = (members - FEATURE_SETS.len()) / PROCESSES;
        let setup = |process: usize| Setup {
            process,
            members: per_process,
            expected: members,
            zone: ZONES[process % ZONES.len()].to_string(),
            half: process % 2,
            operator: real::operator_file(&group, ZONES[process % ZONES.len()], &[]),
            ports: Vec::new(),
            service: Some(environment.service.address),
            workers: environment.listed(),
        };
        let mut hollow: Vec<Handle> = (0..PROCESSES).map(|p| Handle::start(setup(p))).collect();
        let all: Vec<hollow::MemberInfo> = hollow.iter().flat_map(|h| h.members.clone()).collect();
        let packets =
            broadcast(&mut hollow, &Command::Introduce(all.clone())).into_iter().flat_map(|a| match a {
                Response::Packets(packets) => packets,
                _ => Vec::new(),
            });
        let packets = packets.collect();
        broadcast(&mut hollow, &Command::DeliverPackets(packets));
        let seeds: Vec<SocketAddr> =
            all.iter().step_by(per_process.max(1)).take(3).map(|m| m.address).collect();
        let start = |n| {
            RealDispatcher::start(
                &environment,
                n,
                per_process * PROCESSES + FEATURE_SETS.len(),
                &group,
                &seeds,
            )
        };
        let real: Vec<RealDispatcher> = (0..FEATURE_SETS.len()).map(start).collect();
        let members = per_process * PROCESSES + real.iter().filter(|r| r.has_membership()).count();
        Group { members, hollow, real, environment, next_version: 1, lost: 0 }
    }

    /// Returns the real dispatchers that take part in the membership.
    fn membership_dispatchers(&self) -> impl Iterator<Item = &RealDispatcher> {
        self.real.iter().filter(|r| r.has_membership())
    }

    /// Waits until all members count `alive` members as alive and returns how long that took, or `None` on time-out. In
    /// each round the hollow members send the real ones a message, so that these receive packets from every member.
    fn wait_until_converged(&mut self, alive: usize) -> Option<Duration> {
        let started = Instant::now();
        let names: Vec<String> = self.membership_dispatchers().map(|r| r.name.clone()).collect();
        loop {
            let counts = broadcast(&mut self.hollow, &Command::Alive).into_iter().flat_map(|a| match a {
                Response::Counts(counts) => counts,
                _ => Vec::new(),
            });
            let hollow = counts.filter(|count| *count != alive).count();
            let real =
                self.membership_dispatchers().filter(|r| r.counters()["peers_alive"] != alive as u64).count();
            if hollow == 0 && real == 0 {
                return Some(started.elapsed());
            }
            if started.elapsed() > CONVERGENCE_TIMEOUT {
                eprintln!(
                    "group did not converge on {alive} alive members within {CONVERGENCE_TIMEOUT:?}: {hollow} hollow and {real} real members count another number"
                );
                return None;
            }
            broadcast(&mut self.hollow, &Command::Greet(names.clone()));
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Disconnects the clients of the real dispatchers, or lets them connect again.
    fn set_clients_paused(&mut self, paused: bool) {
        for real in &self.real {
            real.client.moved((!paused).then_some(real.program.address));
        }
        if paused {
            std::thread::sleep(Duration::from_millis(300));
        }
    }

    /// Publishes a new version to all subscribers at once; returns the time just before, in Unix microseconds, or `None` if
    /// the control service did not accept it.
    fn publish(&mut self) -> Option<u64> {
        self.next_version += 1;
        let document = format!("[fleet.settings.limits]\nmax_open = {}\n", 900 + self.next_version);
        let at = hollow::unix_us();
        let ask = ServiceCommand::Publish { at_once: true };
        real::query_control_service(self.environment.service.address, &ask, Some(&document)).map(|_| at)
    }

    /// Returns when subscribers applied versions since the previous call, in Unix microseconds.
    fn take_applied_times(&mut self) -> Vec<u64> {
        collect_times(broadcast(&mut self.hollow, &Command::AppliedTimes))
    }

    /// Returns what the members of each hollow process have sent: packets, bytes, and bytes of zone reports.
    fn sent(&mut self) -> Vec<[u64; 3]> {
        let of = |answer| match answer {
            Response::Sent(packets, bytes, zones) => [packets, bytes, zones],
            _ => [0; 3],
        };
        broadcast(&mut self.hollow, &Command::Sent).into_iter().map(of).collect()
    }

    /// Returns the same as a mean per member since `before`; a process restarted in between counts from its start.
    fn sent_per_member_since(&mut self, before: &[[u64; 3]]) -> [f64; 3] {
        let members = self.hollow.iter().map(|h| h.members.len()).sum::<usize>().max(1) as f64;
        let after = self.sent();
        let since = |n: usize| {
            let more = after.iter().zip(before).map(|(a, b)| a[n].checked_sub(b[n]).unwrap_or(a[n]));
            more.sum::<u64>() as f64 / members
        };
        [since(0), since(1), since(2)]
    }

    /// Stops all clients and returns the number of requests that were not served or whose connection broke.
    fn end(mut self) -> u64 {
        let lost = self.real.drain(..).map(|real| {
            let [asked, served, other, broken] = real.client.end();
            if other + broken > 0 {
                eprintln!(
                    "{} ({:?}): {asked} asked, {served} served, {other} refused or failed, {broken} broken",
                    real.name, real.features
                );
            }
            other + broken
        });
        self.lost + lost.sum::<u64>()
    }
}

/// Returns the times in all responses.
fn collect_times(responses: Vec<Response>) -> Vec<u64> {
    let times = responses.into_iter().flat_map(|a| match a {
        Response::Times(times) => times,
        _ => Vec::new(),
    });
    times.collect()
}

/// Sends the command to all processes at once and returns their responses.
fn broadcast(hollow: &mut [Handle], command: &Command) -> Vec<Response> {
    hollow.iter_mut().for_each(|h| h.send_command(command));
    hollow.iter().map(Handle::receive_response).collect()
}

impl RealDispatcher {
    fn has_membership(&self) -> bool {
        !matches!(self.features, FeatureSet::Nothing | FeatureSet::Configuration)
    }
}

/// Measures what the real dispatchers and the control service use in a window without requests.
fn measure_idle(group: &mut Group, window: Duration, figures: &mut Figures) {
    group.set_clients_paused(true);
    let counters: Vec<BTreeMap<String, u64>> = group.real.iter().map(RealDispatcher::counters).collect();
    let service = group.environment.service.child.id();
    let before: Vec<u64> = group.real.iter().map(RealDispatcher::cpu_time_ns).collect();
    let service_before = process::used(service);
    let hollow_before = group.sent();
    std::thread::sleep(window);
    let seconds = window.as_secs_f64();
    let share =
        |after: u64, before: u64| after.saturating_sub(before) as f64 / window.as_nanos() as f64 * 100.0;
    let used: Vec<f64> = group.real.iter().zip(&before).map(|(r, b)| share(r.cpu_time_ns(), *b)).collect();
    let service_used = share(process::used(service), service_before);
    let after: Vec<BTreeMap<String, u64>> = group.real.iter().map(RealDispatcher::counters).collect();
    let position =
        |features: FeatureSet| FEATURE_SETS.iter().position(|p| *p == features).unwrap_or_default();
    let rate = |features: FeatureSet, name: &str| {
        let n = position(features);
        after[n][name].saturating_sub(counters[n][name]) as f64 / seconds
    };
    // Name of each figure, feature set that it is read from, and feature set whose cost is subtracted.
    let rows = [
        ("discovery", FeatureSet::Nothing, None),
        ("membership", FeatureSet::Membership, Some(FeatureSet::Nothing)),
        ("budgets", FeatureSet::Budgets, Some(FeatureSet::Membership)),
        ("zones", FeatureSet::Zones, Some(FeatureSet::Membership)),
        ("configuration", FeatureSet::Configuration, Some(FeatureSet::Nothing)),
        ("all", FeatureSet::All, None),
    ];
    for (name, features, without) in rows {
        let less = without.map_or(0.0, |w| used[position(w)]);
        record_figure(
            figures,
            format!("processor_{name}"),
            (used[position(features)] - less).max(0.0),
            "% of a core",
        );
        let memory = |features: FeatureSet| {
            process::resident(group.real[position(features)].program.child.id()) as f64 / 1e6
        };
        let less = without.map_or(0.0, memory);
        record_figure(figures, format!("memory_{name}"), (memory(features) - less).max(0.0), "MB");
    }
    for (name, features) in [("membership", FeatureSet::Membership), ("all", FeatureSet::All)] {
        for (direction, packets, bytes) in
            [("out", "peers_sent", "peers_sent_bytes"), ("in", "peers_received", "peers_received_bytes")]
        {
            record_figure(
                figures,
                format!("packets_{name}_{direction}"),
                rate(features, packets),
                "a second",
            );
            record_figure(
                figures,
                format!("bytes_{name}_{direction}"),
                rate(features, bytes),
                "bytes a second",
            );
        }
    }
    for (name, features, counter) in [
        ("budgets_out", FeatureSet::Budgets, "overload_sent_bytes"),
        ("zones_out", FeatureSet::Zones, "zones_sent_bytes"),
        ("configuration_out", FeatureSet::Configuration, "stream_sent_bytes"),
        ("configuration_in", FeatureSet::Configuration, "stream_received_bytes"),
        ("discovery_out", FeatureSet::Nothing, "dns_sent_bytes"),
        ("discovery_in", FeatureSet::Nothing, "dns_received_bytes"),
    ] {
        record_figure(figures, format!("bytes_{name}"), rate(features, counter), "bytes a second");
    }
    let hollow = group.sent_per_member_since(&hollow_before).map(|each| each / seconds);
    record_figure(figures, "hollow_packets_out", hollow[0], "a second and member");
    record_figure(figures, "hollow_bytes_out", hollow[1], "bytes a second and member");
    record_figure(figures, "hollow_zone_report_bytes_out", hollow[2], "bytes a second and member");
    record_figure(figures, "service_processor", service_used, "% of a core");
    record_figure(figures, "service_memory", process::resident(service) as f64 / 1e6, "MB");
    group.set_clients_paused(false);
}

/// Measures how soon all members see that a member has failed.
fn measure_failure_detection(group: &mut Group, figures: &mut Figures) -> bool {
    let failed_name = group.hollow[1].members.last().map(|m| m.name.clone()).unwrap_or_default();
    group.hollow[1].run_command(&Command::Die(failed_name.clone()));
    let failed_at = hollow::unix_us();
    let observers = group.hollow.iter().map(|h| h.members.len()).sum::<usize>() - 1;
    let started = Instant::now();
    loop {
        let detected = collect_times(broadcast(&mut group.hollow, &Command::WhenFailed(failed_name.clone())));
        if detected.len() >= observers {
            let mut after: Vec<f64> =
                detected.iter().map(|t| t.saturating_sub(failed_at) as f64 / 1e3).collect();
            record_figure(figures, "death_known_p50", quantile(&mut after, 0.5), "ms");
            record_figure(figures, "death_known_p99", quantile(&mut after, 0.99), "ms");
            group.members -= 1;
            return true;
        }
        if started.elapsed() > CONVERGENCE_TIMEOUT {
            eprintln!(
                "{} of {observers} members did not detect a failure within {CONVERGENCE_TIMEOUT:?}",
                observers - detected.len()
            );
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Measures how soon all subscribers have applied a change of configuration.
fn measure_config_change(group: &mut Group, figures: &mut Figures) -> bool {
    let subscribers: usize = group.hollow.iter().map(|h| h.setup.members).sum();
    group.take_applied_times();
    let Some(published) = group.publish() else { return false };
    let mut applied = Vec::new();
    let started = Instant::now();
    while applied.len() < subscribers {
        if started.elapsed() > CONVERGENCE_TIMEOUT {
            eprintln!(
                "{} of {subscribers} subscribers did not apply a change within {CONVERGENCE_TIMEOUT:?}",
                subscribers - applied.len()
            );
            return false;
        }
        applied.extend(group.take_applied_times());
        std::thread::sleep(POLL_INTERVAL / 5);
    }
    let mut after: Vec<f64> = applied.iter().map(|t| t.saturating_sub(published) as f64 / 1e3).collect();
    record_figure(figures, "change_in_force_p50", quantile(&mut after, 0.5), "ms");
    record_figure(figures, "change_in_force_p99", quantile(&mut after, 0.99), "ms");
    true
}

/// Measures the bytes that each executor adds to an answer of the name service, and computes how many executors fit the
/// largest answer that the protocol allows.
fn measure_discovery(report: &mut Report) {
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
    record_figure(&mut figures, "bytes_an_executor", each, "bytes");
    record_figure(
        &mut figures,
        "executors_in_an_answer",
        (MAX_NAME_ANSWER_BYTES - (few - each * FEW as f64)) / each,
        "at most",
    );
    print("discovery", &figures);
    report.storms.push(Storm { name: "an answer of the name service".to_string(), members: 1, figures });
}

/// Measures what a storm costs the real dispatcher with all features enabled.
struct StormMeter {
    started: Instant,
    used: u64,
    counters: BTreeMap<String, u64>,
    sent: Vec<[u64; 3]>,
}

impl StormMeter {
    fn start(group: &mut Group) -> StormMeter {
        let real = &group.real[FEATURE_SETS.len() - 1];
        let (used, counters) = (real.cpu_time_ns(), real.counters());
        StormMeter { started: Instant::now(), used, counters, sent: group.sent() }
    }

    fn read(&self, group: &mut Group, figures: &mut Figures) {
        let real = &group.real[FEATURE_SETS.len() - 1];
        let after = real.counters();
        let more = |name: &str| after[name].saturating_sub(self.counters[name]) as f64;
        record_figure(figures, "seconds", self.started.elapsed().as_secs_f64(), "s");
        record_figure(figures, "processor", (real.cpu_time_ns() - self.used) as f64 / 1e6, "ms in all");
        record_figure(figures, "packets_in", more("peers_received"), "in all");
        record_figure(figures, "bytes_in", more("peers_received_bytes"), "bytes in all");
        record_figure(figures, "packets_out", more("peers_sent"), "in all");
        record_figure(figures, "bytes_out", more("peers_sent_bytes"), "bytes in all");
        let hollow = group.sent_per_member_since(&self.sent);
        record_figure(figures, "hollow_packets_out", hollow[0], "a member");
        record_figure(figures, "hollow_bytes_out", hollow[1], "bytes a member");
        record_figure(figures, "hollow_zone_report_bytes", hollow[2], "bytes a member");
    }
}

/// Restarts a tenth of the group at once, under the same names and ports.
fn storm_restarts(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = StormMeter::start(group);
    let last = group.hollow.len() - 1;
    group.hollow[last].kill();
    let ports = group.hollow[last].members.iter().map(|m| m.address.port()).collect();
    let setup = Setup { ports, ..group.hollow[last].setup.clone() };
    group.hollow[last] = Handle::start(setup);
    // A restarted member would learn the group from its seeds; here it is given the full member list instead.
    let all: Vec<hollow::MemberInfo> = group.hollow.iter().flat_map(|h| h.members.clone()).collect();
    broadcast(&mut group.hollow, &Command::Introduce(all));
    let converged_after = group.wait_until_converged(group.members)?;
    record_figure(&mut figures, "agreed_after", converged_after.as_secs_f64(), "s");
    meter.read(group, &mut figures);
    Some(figures)
}

/// Lets the workers of a zone stop answering, and then answer again.
fn storm_zone_outage(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = StormMeter::start(group);
    let zone = ZONES[2].to_string();
    broadcast(&mut group.hollow, &Command::LoseZone(Some(zone)));
    std::thread::sleep(Duration::from_secs(5));
    broadcast(&mut group.hollow, &Command::LoseZone(None));
    std::thread::sleep(Duration::from_secs(10));
    meter.read(group, &mut figures);
    Some(figures)
}

/// Partitions the group into two halves, and heals it.
fn storm_partition(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let meter = StormMeter::start(group);
    broadcast(&mut group.hollow, &Command::Partition(true));
    std::thread::sleep(PARTITION_DURATION);
    let mut during = Figures::new();
    meter.read(group, &mut during);
    broadcast(&mut group.hollow, &Command::Partition(false));
    let converged_after = group.wait_until_converged(group.members)?;
    record_figure(&mut figures, "agreed_after_heal", converged_after.as_secs_f64(), "s");
    meter.read(group, &mut figures);
    Some(figures)
}

/// Publishes many changes of configuration in a short time.
fn storm_changes(group: &mut Group) -> Option<Figures> {
    let mut figures = Figures::new();
    let (meter, service) = (StormMeter::start(group), group.environment.service.child.id());
    let before = process::used(service);
    let subscribers: usize = group.hollow.iter().map(|h| h.setup.members).sum();
    group.take_applied_times();
    let (started, mut last) = (Instant::now(), 0);
    for n in 0..STORM_CHANGES {
        std::thread::sleep(
            (STORM_CHANGES_DURATION * n as u32 / STORM_CHANGES as u32).saturating_sub(started.elapsed()),
        );
        last = group.publish()?;
    }
    let mut applied = Vec::new();
    // Subscribers may skip versions that follow each other closely, so only the last version is waited for.
    while applied.iter().filter(|t| **t >= last).count() < subscribers {
        if started.elapsed() > CONVERGENCE_TIMEOUT {
            let never = subscribers - applied.iter().filter(|t| **t >= last).count().min(subscribers);
            eprintln!(
                "{never} of {subscribers} subscribers did not apply the last change within {CONVERGENCE_TIMEOUT:?}"
            );
            break;
        }
        applied.extend(group.take_applied_times());
        std::thread::sleep(POLL_INTERVAL);
    }
    let mut after: Vec<f64> =
        applied.iter().filter(|t| **t >= last).map(|t| (t - last) as f64 / 1e3).collect();
    record_figure(&mut figures, "last_in_force_p99", quantile(&mut after, 0.99), "ms");
    record_figure(
        &mut figures,
        "service_processor",
        (process::used(service) - before) as f64 / 1e6,
        "ms in all",
    );
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
        return hollow::run(serde_json::from_str(&setup).expect("valid set-up in --hollow"));
    }
    let started = Instant::now();
    let mut report =
        Report { cores: std::thread::available_parallelism().map_or(1, usize::from), ..Report::default() };
    let mut missed = Vec::new();
    measure_discovery(&mut report);
    let storm_position =
        options.storms.map(|at| at.unwrap_or(usize::MAX).min(options.sizes.len().saturating_sub(1)));
    for (position, members) in options.sizes.iter().enumerate() {
        let mut group = Group::start(*members);
        let mut figures = Figures::new();
        let mut converged = group.wait_until_converged(group.members).is_some();
        std::thread::sleep(Duration::from_secs(options.settle));
        measure_idle(&mut group, Duration::from_secs(options.window), &mut figures);
        converged &= measure_config_change(&mut group, &mut figures);
        converged &= measure_failure_detection(&mut group, &mut figures);
        print(&format!("members_{}", group.members + 1), &figures);
        report.sizes.push(Size { members: group.members + 1, figures });
        if storm_position == Some(position) {
            type RunStorm = fn(&mut Group) -> Option<Figures>;
            let storms: [(&str, RunStorm); 4] = [
                ("a tenth restarted at once", storm_restarts),
                ("a zone gone and back", storm_zone_outage),
                ("cut in two for 20 s", storm_partition),
                ("50 changes in 10 s", storm_changes),
            ];
            for (name, run_storm) in storms {
                let Some(figures) = run_storm(&mut group) else {
                    missed.push(format!("{name}: storm did not complete"));
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
        if !converged {
            missed
                .push(format!("{members} members: group did not converge, or missed a change or a failure"));
        }
    }
    for (name, (fit, unit)) in report.fits() {
        println!(
            "fit_{name} {:?} constant {:.4} slope {:.6} residual {:.3} ({unit})",
            fit.growth, fit.constant, fit.slope, fit.residual
        );
    }
    println!("run_time {:.1} s", started.elapsed().as_secs_f64());
    if let Some(path) = options.json {
        let json = serde_json::to_string_pretty(&report).expect("the report serializes");
        std::fs::write(&path, json + "\n").expect("the JSON file is writable");
    }
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
