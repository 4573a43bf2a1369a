//! What no version may do to a dispatcher that runs: the platform's rules, and those for changing under requests.
//!
//! Without I/O: told what the platform's file says, what runs, and what is in use, it names every rule that a version
//! would break.

use crate::api::Effect;
use crate::config::{DRAIN_GRACE, Parts, Settings};
use crate::names::Vocabulary;
use ochreward_stream::wire::Fault;
use std::collections::BTreeSet;

/// The ration of loads where no file of the platform says one: loads a window, and per request taken in it.
const LOADS_ANYWAY: f64 = 6.0;
const LOADS_PER_REQUEST: f64 = 0.3;
/// The window of that ration, in microseconds.
const LOAD_WINDOW: u64 = 5_000_000;

/// What is in use at this moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Names of classes with requests under way.
    pub classes: BTreeSet<String>,
    /// Requests that are owed an answer.
    pub requests: usize,
    /// Descriptors open on connections.
    pub descriptors: usize,
    /// Bytes of bodies held.
    pub held: usize,
}

/// What a version is held against.
#[derive(Clone, Debug)]
pub struct Grounds {
    /// What the platform's file says; `None` where it leaves the settings to versions.
    pub platform: Option<Parts>,
    /// The settings that run; `None` before any do.
    pub running: Option<Settings>,
    /// What is in use.
    pub usage: Usage,
}

struct Faults(Vec<Fault>);

impl Faults {
    fn unless(&mut self, holds: bool, key: impl Into<String>, why: impl Into<String>) {
        if !holds {
            self.0.push(Fault { key: key.into(), why: why.into() });
        }
    }
}

/// The rules that the version would break; none if it may run.
pub fn broken(grounds: &Grounds, new: &Parts) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    ration(&mut faults, grounds.platform.as_ref(), &new.settings);
    drain(&mut faults, grounds.platform.as_ref(), &new.settings);
    limits(&mut faults, grounds, new);
    classes(&mut faults, grounds, &new.settings);
    if let Some(running) = &grounds.running {
        vocabulary(&mut faults, &running.vocabulary, &new.settings.vocabulary);
    }
    faults.0
}

/// The ration of loads and the budget of cold workers are the platform's to give.
fn ration(faults: &mut Faults, platform: Option<&Parts>, new: &Settings) {
    let (m, key) = (&new.module, |name: &str| format!("settings.family_info.{name}"));
    let given = platform.map(|p| &p.settings.module);
    if let Some(given) = given {
        faults.unless(given.orders || !m.orders, key("orders"), "the platform allows no orders to load");
        let rules = |name: &str| format!("settings.rules.{name}");
        faults.unless(m.cold_share <= given.cold_share, rules("cold_share"), "is over the platform's");
        faults.unless(m.warm_after >= given.warm_after, rules("warm_after_us"), "is under the platform's");
        faults.unless(
            m.fall_multiple <= given.fall_multiple,
            rules("fall_multiple"),
            "is over the platform's",
        );
    }
    if !m.orders {
        return;
    }
    let rationed = given.is_none_or(|g| g.load_window > 0);
    if !rationed {
        return;
    }
    let (anyway, each, window) = given.map_or((LOADS_ANYWAY, LOADS_PER_REQUEST, LOAD_WINDOW), |g| {
        (g.loads_anyway, g.loads_per_request, g.load_window)
    });
    let why = |what: &str| format!("{what}: the load ration would be broken");
    faults.unless(m.loads_anyway <= anyway, key("loads_anyway"), why(&format!("is over {anyway}")));
    faults.unless(m.loads_per_request <= each, key("loads_per_request"), why(&format!("is over {each}")));
    faults.unless(m.load_window >= window, key("load_window_us"), why(&format!("is under {window}")));
}

fn drain(faults: &mut Faults, platform: Option<&Parts>, new: &Settings) {
    let most = platform.map_or(DRAIN_GRACE, |p| p.settings.drain_grace);
    let why = format!("is over {most}: the drain rule would be broken");
    faults.unless(new.drain_grace <= most, "settings.rules.stop_sending_within_us", why);
}

fn limits(faults: &mut Faults, grounds: &Grounds, new: &Parts) {
    let (usage, own) = (&grounds.usage, new.resources);
    if let Some(platform) = &grounds.platform {
        let given = platform.resources;
        faults.unless(own.memory <= given.memory, "limits.memory_mb", "is over what the platform gives");
        faults.unless(own.sockets <= given.sockets, "limits.sockets", "is over what the platform gives");
    }
    let used = |count: usize| format!("is less than is in use now, which is {count}");
    faults.unless(own.sockets > usage.descriptors, "limits.sockets", used(usage.descriptors));
    // Bodies may hold an eighth of the memory.
    faults.unless(own.memory / 8 >= usage.held, "limits.memory_mb", used(usage.held * 8));
    let open = new.settings.max_open;
    faults.unless(open >= usage.requests, "settings.limits.max_open", used(usage.requests));
}

fn classes(faults: &mut Faults, grounds: &Grounds, new: &Settings) {
    let key = |name: &str, what: &str| format!("settings.lanes[{name}]{what}");
    for (i, name) in new.classes.iter().enumerate() {
        faults.unless(!new.classes[..i].contains(name), key(name, ""), "is there twice");
    }
    let rules_of = |settings: &Settings, name: &str| {
        let place = settings.classes.iter().position(|n| n == name)?;
        Some((settings.module.classes[place], settings.retired[place]))
    };
    let told = grounds.platform.as_ref().map(|p| &p.settings).into_iter().chain(grounds.running.as_ref());
    let mut repeatable = BTreeSet::new();
    for settings in told {
        for (class, name) in settings.module.classes.iter().zip(&settings.classes) {
            let now = rules_of(new, name).map(|(c, _)| c.effect);
            if class.effect == Effect::AtMostOnce && now.is_some_and(|e| e != Effect::AtMostOnce) {
                repeatable.insert(name);
            }
        }
    }
    for name in repeatable {
        faults.unless(false, key(name, ".effect"), "would allow repeats of an at-most-once class");
    }
    let Some(running) = &grounds.running else { return };
    for ((class, name), retired) in running.module.classes.iter().zip(&running.classes).zip(&running.retired)
    {
        if !grounds.usage.classes.contains(name) {
            continue;
        }
        match rules_of(new, name) {
            // A retired one takes nothing new, and keeps its place until the last request is answered.
            None => faults.unless(*retired, key(name, ""), "is in use; set retired = true first"),
            Some((now, _)) if class.effect == Effect::Deduplicated => {
                let keeps = now.effect == Effect::Deduplicated && now.repeat_window >= class.repeat_window;
                let why = "would lose its key's window while requests are under way";
                faults.unless(keeps, key(name, ".repeat_window_us"), why);
            }
            Some(_) => {}
        }
    }
}

/// Zones and kinds are known by their places; one that moved would be taken for another.
fn vocabulary(faults: &mut Faults, old: &Vocabulary, new: &Vocabulary) {
    for (key, old, new) in [("zones", &old.zones, &new.zones), ("kinds", &old.kinds, &new.kinds)] {
        let keeps = old.iter().zip(new).all(|(o, n)| o == n) && new.len() >= old.len();
        faults.unless(
            keeps,
            format!("settings.{key}"),
            "names may be added at the end, not moved or removed",
        );
    }
}

#[cfg(test)]
mod tests;
