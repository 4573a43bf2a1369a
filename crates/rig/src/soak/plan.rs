//! The plan of a soak run: sizes, settings, fault rates and timed events, all drawn from the run's seed and its length alone.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The largest number of dispatchers in a run.
pub const MAX_DISPATCHERS: u64 = 40;
/// The length of a run unless the command line gives another, in milliseconds.
pub const DEFAULT_RUN_MS: u64 = 12_000;
/// No event begins in this last part of a run, so that the effects of earlier events can end.
const QUIET_TAIL_MS: u64 = 5_000;
/// The time in which the workers of a run become warm, in milliseconds.
pub const WARM_UP_MS: u64 = 6_000;
/// Distinguishes the generator of worker restarts from that of the other events.
const RESTARTS_SEED: u64 = 0x7265_7374_6172_7473;
/// No event begins in this first part of a run, so that all processes are up before the first one.
const QUIET_HEAD_MS: u64 = 500;

/// An event at a set time of a run. The first number selects a worker or dispatcher: the run takes it modulo the number of
/// those present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker is listed as draining, and is removed some time later.
    Drain(u64),
    /// A worker is removed from the list without a drain; it stops listening some time later.
    Remove(u64),
    /// A cold worker is added.
    Add,
    /// A cold worker is added at the address of the worker that stopped last.
    AddAtReusedAddress,
    /// A worker accepts requests without answering, for this many milliseconds.
    Hang(u64, u64),
    /// A worker closes all its connections with a reset.
    Reset(u64),
    /// A worker shuts down all its connections.
    CloseConnections(u64),
    /// A worker delays the establishment of connections, for this many milliseconds.
    DelayConnections(u64, u64),
    /// A dispatcher is stopped by SIGSTOP for this many milliseconds.
    Pause(u64, u64),
    /// A dispatcher reloads its configuration: with the initial worker list under a high offset (`true`), or with the current list.
    Reload(u64, bool),
    /// A dispatcher is sent SIGTERM, then SIGKILL at the earliest time that a planned stop allows, and is restarted.
    Stop(u64),
    /// A dispatcher is sent SIGKILL and restarted.
    Kill(u64),
    /// The name services answer nothing for this many milliseconds.
    SilenceNames(u64),
    /// A listed worker's process ends, and another one starts under its id and address this many milliseconds later.
    RestartWorker(u64, u64),
    /// The worker that was restarted last is restarted again, after this many milliseconds without a process.
    RestartWorkerAgain(u64),
    /// The worker that was restarted first is restarted again, after this many milliseconds without a process.
    RestartFirstAgain(u64),
    /// The worker that stopped last is listed again under its id: at its address (`true`), or at another one.
    ReturnWorker(bool),
    /// All clients send without pauses for this many milliseconds.
    Crowd(u64),
}

/// Fault rates of the name service, per thousand answers unless a field says otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Answers that are never sent.
    pub lost: u64,
    /// Answers that are sent up to `late_ms` late.
    pub late: u64,
    /// The longest delay of a late answer, in milliseconds.
    pub late_ms: u64,
    /// Answers that are sent twice, the second time later.
    pub doubled: u64,
    /// Answers of which only the first half is sent.
    pub cut: u64,
    /// Answers with an error code.
    pub error: u64,
    /// Answers with an older list under the serial number that it had then, which may be one of the previous process.
    pub stale: u64,
    /// Answers that list one id at two addresses.
    pub doubted: u64,
    /// The number of draining entries added to each answer to make it larger.
    pub padding: usize,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The number of workers at the start.
    pub workers: usize,
    /// The number of clients of each dispatcher.
    pub clients: usize,
    /// The number of additional clients of the first dispatcher, which unbalance the load.
    pub extra_clients: usize,
    /// The deadline of each class, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// The dispatchers' limit on idle connections to executors, in milliseconds.
    pub keep_alive_ms: u64,
    /// The dispatchers' connect timeout, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The fault rates of the name services.
    pub service: ServiceFaults,
    /// How many of a thousand system calls fail.
    pub failing_calls_per_mille: u64,
    /// When calls fail, from and to, in milliseconds after a process's start.
    pub failing_period_ms: (u64, u64),
    /// The step of the wall clock, in milliseconds; 0 for none.
    pub clock_step_ms: i64,
    /// When the wall clock steps, in milliseconds after a process's start.
    pub clock_step_at_ms: u64,
    /// Whether a dispatcher's state directory outlives its process and serves the next one.
    pub persistent_state_dir: bool,
    /// The length of the run, in milliseconds.
    pub length_ms: u64,
    /// The events and their times in milliseconds, in order of time.
    pub events: Vec<(u64, Event)>,
}

struct SeededDraw(Pcg32);

impl SeededDraw {
    fn below(&mut self, max: u64) -> u64 {
        u64::from(self.0.next_u32()) % max.max(1)
    }

    fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

impl Plan {
    /// Draws the plan of a run from its seed, for a run of this length. The order of the draws is part of the meaning of a seed:
    /// a change makes recorded seeds produce other runs.
    pub fn draw(seed: u64, length_ms: u64) -> Plan {
        let mut draw = SeededDraw(Pcg32::seed_from_u64(seed));
        let small_group = draw.one_in(2);
        let dispatchers =
            if small_group { draw.between(1, 6) } else { draw.between(7, MAX_DISPATCHERS) } as usize;
        let deadlines_ms = [draw.between(500, 2_000), draw.between(500, 2_000), draw.between(500, 2_000)];
        let service = Plan::service(&mut draw);
        let calls_fail = draw.one_in(2);
        let steps = [-3_600_000, -5_000, 5_000, 3_600_000];
        let mut plan = Plan {
            seed,
            dispatchers,
            workers: draw.between(3, 8) as usize,
            clients: if small_group { draw.between(2, 6) } else { draw.between(1, 2) } as usize,
            extra_clients: if draw.one_in(3) { draw.between(20, 50) as usize } else { 0 },
            deadlines_ms,
            keep_alive_ms: draw.between(1_500, 15_000),
            connect_timeout_ms: draw.between(100, 1_000),
            service,
            failing_calls_per_mille: if calls_fail { draw.between(2, 40) } else { 0 },
            failing_period_ms: (500, length_ms),
            clock_step_ms: if draw.one_in(2) { steps[draw.below(4) as usize] } else { 0 },
            clock_step_at_ms: draw.below(length_ms),
            persistent_state_dir: draw.one_in(2),
            length_ms,
            events: Vec::new(),
        };
        plan.events = Plan::events(&mut draw, length_ms, dispatchers as u64);
        plan
    }

    /// Adds events in which the process behind a worker's id is replaced, some dispatchers are killed in series, and in some runs a
    /// crowd. They are drawn by a generator of their own, so that the other events of a seed stay as they are.
    pub fn add_worker_restarts(&mut self) {
        let mut draw = SeededDraw(Pcg32::seed_from_u64(self.seed ^ RESTARTS_SEED));
        let last_ms = self.length_ms.saturating_sub(QUIET_TAIL_MS).max(QUIET_HEAD_MS + 1);
        for _ in 0..2 + self.length_ms / 6_000 + draw.below(3) {
            let at_ms = draw.between(QUIET_HEAD_MS, last_ms);
            self.events.push((at_ms, Event::RestartWorker(draw.below(1 << 16), draw.below(600))));
            if draw.one_in(2) {
                let again_ms = at_ms + draw.between(700, 3_000);
                self.events.push((again_ms, Event::RestartWorkerAgain(draw.below(400))));
            }
            if draw.one_in(3) {
                self.add_kill_series(&mut draw, at_ms);
            }
        }
        // One worker restarts early, and again once it is warm, in every other run into a crowd.
        self.events.push((QUIET_HEAD_MS, Event::RestartWorker(draw.below(1 << 16), 0)));
        let warm_again_ms = QUIET_HEAD_MS + WARM_UP_MS + draw.between(100, 400);
        self.events.push((warm_again_ms, Event::RestartFirstAgain(draw.below(200))));
        if draw.one_in(2) {
            self.events.push((warm_again_ms.saturating_sub(500), Event::Crowd(2_500)));
        }
        if draw.one_in(2) {
            let at_ms = draw.between(QUIET_HEAD_MS, last_ms);
            self.events.push((at_ms, Event::Remove(draw.below(1 << 16))));
            // The removed worker runs on for a time, and returns after its end.
            self.events.push((at_ms + draw.between(2_600, 4_000), Event::ReturnWorker(draw.one_in(2))));
        }
        if draw.one_in(3) {
            let at_ms = draw.between(QUIET_HEAD_MS, last_ms);
            self.events.push((at_ms, Event::Crowd(draw.between(1_000, 4_000))));
        }
        self.events.sort_by_key(|(at_ms, _)| *at_ms);
    }

    /// Kills a dispatcher about the time of a worker's restart, and again soon after it has started.
    fn add_kill_series(&mut self, draw: &mut SeededDraw, at_ms: u64) {
        let selector = draw.below(1 << 16);
        let first_ms = at_ms + draw.below(400);
        self.events.push((first_ms, Event::Kill(selector)));
        self.events.push((first_ms + draw.between(500, 1_500), Event::Kill(selector)));
    }

    fn service(draw: &mut SeededDraw) -> ServiceFaults {
        let mut rate_up_to = |max: u64| if draw.one_in(2) { draw.below(max + 1) } else { 0 };
        ServiceFaults {
            lost: rate_up_to(300),
            late: rate_up_to(500),
            late_ms: rate_up_to(2_000),
            doubled: rate_up_to(100),
            cut: rate_up_to(100),
            error: rate_up_to(100),
            stale: rate_up_to(60),
            doubted: rate_up_to(60),
            padding: rate_up_to(120) as usize,
        }
    }

    fn events(draw: &mut SeededDraw, length_ms: u64, dispatchers: u64) -> Vec<(u64, Event)> {
        let count = length_ms / 1_000 + dispatchers / 2 + draw.below(8);
        let last_ms = length_ms.saturating_sub(QUIET_TAIL_MS).max(QUIET_HEAD_MS + 1);
        let mut events: Vec<(u64, Event)> = Vec::new();
        for _ in 0..count {
            let at_ms = draw.between(QUIET_HEAD_MS, last_ms);
            let selector = draw.below(1 << 16);
            let event = match draw.below(20) {
                0..=3 => Event::Drain(selector),
                4 => Event::Remove(selector),
                5..=7 => Event::Add,
                8 => Event::AddAtReusedAddress,
                9 => Event::Hang(selector, draw.between(500, 3_000)),
                10 => Event::Reset(selector),
                11 => Event::CloseConnections(selector),
                12 => Event::DelayConnections(selector, draw.between(200, 1_500)),
                13..=14 => Event::Pause(selector, draw.between(100, 2_000)),
                15 => Event::Reload(selector, draw.one_in(2)),
                16..=17 => Event::Stop(selector),
                18 => Event::Kill(selector),
                _ => Event::SilenceNames(draw.between(300, 2_500)),
            };
            events.push((at_ms, event));
            // Signals in quick succession are also tested.
            if matches!(event, Event::Stop(_) | Event::Reload(..) | Event::Pause(..)) && draw.one_in(3) {
                events.push((at_ms + draw.below(30), Event::Reload(selector, draw.one_in(2))));
            }
        }
        events.sort_by_key(|(at_ms, _)| *at_ms);
        events
    }
}
