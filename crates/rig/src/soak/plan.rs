//! What a run consists of, drawn from its seed alone.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Dispatchers of a run, at the most.
pub const MOST_DISPATCHERS: u64 = 40;
/// The usual length of a run, in milliseconds.
pub const USUAL_MS: u64 = 12_000;
/// Nothing begins in the last part of a run, so that all that was begun can end.
const TAIL_MS: u64 = 5_000;
/// And nothing before all stand.
const HEAD_MS: u64 = 500;

/// Something that happens at a moment of a run. Workers and dispatchers are drawn numbers: the run takes them by the
/// remainder over those that are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker is told to drain, and is gone some time later.
    Drain(u64),
    /// A worker is gone from the list and from its address at once.
    Vanish(u64),
    /// A worker comes, cold.
    Add,
    /// A worker comes, cold, at the address of the last one that went.
    AddAtOldAddress,
    /// A worker takes all and answers nothing, for so long.
    Hang(u64, u64),
    /// A worker resets all its connections.
    Reset(u64),
    /// A worker closes its idle connections.
    CloseIdle(u64),
    /// Connections to a worker come up late, for so long.
    LateConnections(u64, u64),
    /// A dispatcher is stopped by SIGSTOP for so long.
    Pause(u64, u64),
    /// A dispatcher reads its configuration again, with a list of long ago under a high number, or with that of now.
    Reload(u64, bool),
    /// A dispatcher is sent SIGTERM, SIGKILL at the earliest, and is started again.
    Stop(u64),
    /// A dispatcher is killed and started again.
    Kill(u64),
    /// The name service says nothing for so long.
    Silence(u64),
}

/// How the name service misbehaves, in parts of a thousand of its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Never sent.
    pub lost: u64,
    /// Sent up to `late_ms` later.
    pub late: u64,
    /// See `late`.
    pub late_ms: u64,
    /// Sent twice, the second time later.
    pub doubled: u64,
    /// Sent in half.
    pub cut: u64,
    /// With an error code.
    pub error: u64,
    /// With an older state, under the number that it had then, also of the process before.
    pub stale: u64,
    /// With an id at two addresses.
    pub doubted: u64,
    /// Draining entries that make each answer larger.
    pub padding: usize,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How many dispatchers, and workers at the start.
    pub dispatchers: usize,
    /// See `dispatchers`.
    pub workers: usize,
    /// Clients of each dispatcher.
    pub clients: usize,
    /// Clients more of the first dispatcher: a crowd.
    pub crowd: usize,
    /// The time of each class, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// Executors' limit on idle connections, in milliseconds.
    pub keepalive_ms: u64,
    /// How long a connection may take to come up, in milliseconds.
    pub connect_ms: u64,
    /// The name service.
    pub service: ServiceFaults,
    /// Calls of the system that fail, in parts of a thousand, from and to.
    pub failing_calls: u64,
    /// See `failing_calls`.
    pub failing_ms: (u64, u64),
    /// A step of the wall clock, and when after a process's start; 0: none.
    pub clock_step_ms: i64,
    /// See `clock_step_ms`.
    pub clock_step_at_ms: u64,
    /// Folders outlast their process.
    pub lasting_folder: bool,
    /// How long the run lasts.
    pub length_ms: u64,
    /// What happens, in order.
    pub events: Vec<(u64, Event)>,
}

struct Draw(Pcg32);

impl Draw {
    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.0.next_u32()) % most.max(1)
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}

impl Plan {
    /// The run of a seed, of this length.
    pub fn draw(seed: u64, length_ms: u64) -> Plan {
        let mut draw = Draw(Pcg32::seed_from_u64(seed));
        let handful = draw.one_in(2);
        let dispatchers =
            if handful { draw.between(1, 6) } else { draw.between(7, MOST_DISPATCHERS) } as usize;
        let deadlines_ms = [draw.between(500, 2_000), draw.between(500, 2_000), draw.between(500, 2_000)];
        let service = Plan::service(&mut draw);
        let shim = draw.one_in(2);
        let steps = [-3_600_000, -5_000, 5_000, 3_600_000];
        let mut plan = Plan {
            seed,
            dispatchers,
            workers: draw.between(3, 8) as usize,
            clients: if handful { draw.between(2, 6) } else { draw.between(1, 2) } as usize,
            crowd: if draw.one_in(3) { draw.between(20, 50) as usize } else { 0 },
            deadlines_ms,
            keepalive_ms: draw.between(1_500, 15_000),
            connect_ms: draw.between(100, 1_000),
            service,
            failing_calls: if shim { draw.between(2, 40) } else { 0 },
            failing_ms: (500, length_ms),
            clock_step_ms: if draw.one_in(2) { steps[draw.below(4) as usize] } else { 0 },
            clock_step_at_ms: draw.below(length_ms),
            lasting_folder: draw.one_in(2),
            length_ms,
            events: Vec::new(),
        };
        plan.events = Plan::events(&mut draw, length_ms, dispatchers as u64);
        plan
    }

    fn service(draw: &mut Draw) -> ServiceFaults {
        let mut some = |most: u64| if draw.one_in(2) { draw.below(most + 1) } else { 0 };
        ServiceFaults {
            lost: some(300),
            late: some(500),
            late_ms: some(2_000),
            doubled: some(100),
            cut: some(100),
            error: some(100),
            stale: some(60),
            doubted: some(60),
            padding: some(120) as usize,
        }
    }

    fn events(draw: &mut Draw, length_ms: u64, dispatchers: u64) -> Vec<(u64, Event)> {
        let count = length_ms / 1_000 + dispatchers / 2 + draw.below(8);
        let last = length_ms.saturating_sub(TAIL_MS).max(HEAD_MS + 1);
        let mut events: Vec<(u64, Event)> = Vec::new();
        for _ in 0..count {
            let at = draw.between(HEAD_MS, last);
            let who = draw.below(1 << 16);
            let event = match draw.below(20) {
                0..=3 => Event::Drain(who),
                4 => Event::Vanish(who),
                5..=7 => Event::Add,
                8 => Event::AddAtOldAddress,
                9 => Event::Hang(who, draw.between(500, 3_000)),
                10 => Event::Reset(who),
                11 => Event::CloseIdle(who),
                12 => Event::LateConnections(who, draw.between(200, 1_500)),
                13..=14 => Event::Pause(who, draw.between(100, 2_000)),
                15 => Event::Reload(who, draw.one_in(2)),
                16..=17 => Event::Stop(who),
                18 => Event::Kill(who),
                _ => Event::Silence(draw.between(300, 2_500)),
            };
            events.push((at, event));
            // Signals come in series too.
            if matches!(event, Event::Stop(_) | Event::Reload(..) | Event::Pause(..)) && draw.one_in(3) {
                events.push((at + draw.below(30), Event::Reload(who, draw.one_in(2))));
            }
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }
}
