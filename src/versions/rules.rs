//! Rules that a configuration version must keep: the platform's limits, and those for changes while requests are open.
//!
//! Given the platform's file, the running settings and what is in use, returns every rule that a version would violate.
//! Does no I/O.

use crate::api::Effect;
use crate::config::{MAX_DRAIN_GRACE_US, Settings, VersionedConfig};
use crate::discovery::ZoneAndKindNames;
use ochreward_stream::wire::Fault;
use std::collections::BTreeSet;

/// The load ration if no file of the platform sets one: loads per window.
const DEFAULT_LOADS_ANYWAY: f64 = 6.0;
/// Additional loads in the ration per request taken in the window.
const DEFAULT_LOADS_PER_REQUEST: f64 = 0.3;
/// The window of that ration, in microseconds.
const DEFAULT_LOAD_WINDOW_US: u64 = 5_000_000;

/// The resources in use when a version is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The names of classes with open requests.
    pub classes: BTreeSet<String>,
    /// The number of requests without an answer.
    pub requests: usize,
    /// The number of descriptors open on connections.
    pub descriptors: usize,
    /// The bytes of the request bodies held.
    pub held_bytes: usize,
}

/// What a version is checked against.
#[derive(Clone, Debug)]
pub struct CheckContext {
    /// The content of the platform's file; `None` if it leaves the settings to versions.
    pub platform: Option<VersionedConfig>,
    /// The running settings; `None` before there are any.
    pub running: Option<Settings>,
    /// The resources in use.
    pub usage: Usage,
}

/// The violations found so far.
struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault unless the rule holds.
    fn require(&mut self, holds: bool, key: impl Into<String>, why: impl Into<String>) {
        if !holds {
            self.0.push(Fault { key: key.into(), why: why.into() });
        }
    }
}

/// Returns the rules that the version would violate; none if it may run.
pub fn violations(context: &CheckContext, new: &VersionedConfig) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    check_load_ration(&mut faults, context.platform.as_ref(), &new.settings);
    check_drain(&mut faults, context.platform.as_ref(), &new.settings);
    check_limits(&mut faults, context, new);
    check_classes(&mut faults, context, &new.settings);
    if let Some(running) = &context.running {
        check_vocabulary(&mut faults, &running.vocabulary, &new.settings.vocabulary);
    }
    faults.0
}

/// Checks that the load ration and the budget of cold workers stay within the platform's.
fn check_load_ration(faults: &mut Faults, platform: Option<&VersionedConfig>, new: &Settings) {
    let (module, key) = (&new.module, |name: &str| format!("settings.family_info.{name}"));
    let given = platform.map(|p| &p.settings.module);
    if let Some(given) = given {
        faults.require(
            given.load_orders_allowed || !module.load_orders_allowed,
            key("orders"),
            "the platform allows no orders to load",
        );
        let rule_key = |name: &str| format!("settings.rules.{name}");
        faults.require(
            module.cold_share <= given.cold_share,
            rule_key("cold_share"),
            "is over the platform's",
        );
        faults.require(
            module.warm_after >= given.warm_after,
            rule_key("warm_after_us"),
            "is under the platform's",
        );
        faults.require(
            module.fall_multiple <= given.fall_multiple,
            rule_key("fall_multiple"),
            "is over the platform's",
        );
    }
    if !module.load_orders_allowed {
        return;
    }
    let rationed = given.is_none_or(|g| g.load_window > 0);
    if !rationed {
        return;
    }
    let defaults = (DEFAULT_LOADS_ANYWAY, DEFAULT_LOADS_PER_REQUEST, DEFAULT_LOAD_WINDOW_US);
    let (anyway, per_request, window) =
        given.map_or(defaults, |g| (g.loads_anyway, g.loads_per_request, g.load_window));
    let why = |violation: &str| format!("{violation}: the load ration would be broken");
    faults.require(module.loads_anyway <= anyway, key("loads_anyway"), why(&format!("is over {anyway}")));
    faults.require(
        module.loads_per_request <= per_request,
        key("loads_per_request"),
        why(&format!("is over {per_request}")),
    );
    faults.require(module.load_window >= window, key("load_window_us"), why(&format!("is under {window}")));
}

/// Checks that draining executors get no requests for longer than the platform allows.
fn check_drain(faults: &mut Faults, platform: Option<&VersionedConfig>, new: &Settings) {
    let max_us = platform.map_or(MAX_DRAIN_GRACE_US, |p| p.settings.drain_grace);
    let why = format!("is over {max_us}: the drain rule would be broken");
    faults.require(new.drain_grace <= max_us, "settings.rules.stop_sending_within_us", why);
}

/// Checks the limits against the platform's and against what is in use.
fn check_limits(faults: &mut Faults, context: &CheckContext, new: &VersionedConfig) {
    let (usage, limits) = (&context.usage, new.resources);
    if let Some(platform) = &context.platform {
        let given = platform.resources;
        faults.require(limits.memory <= given.memory, "limits.memory_mb", "is over what the platform gives");
        faults.require(limits.sockets <= given.sockets, "limits.sockets", "is over what the platform gives");
    }
    let used = |count: usize| format!("is less than is in use now, which is {count}");
    faults.require(limits.sockets > usage.descriptors, "limits.sockets", used(usage.descriptors));
    // Request bodies may use an eighth of the memory.
    faults.require(limits.memory / 8 >= usage.held_bytes, "limits.memory_mb", used(usage.held_bytes * 8));
    let max_open = new.settings.max_open;
    faults.require(max_open >= usage.requests, "settings.limits.max_open", used(usage.requests));
}

/// Checks that class names are unique, that classes keep their protection against repeats, and that none in use is removed.
fn check_classes(faults: &mut Faults, context: &CheckContext, new: &Settings) {
    let key = |name: &str, what: &str| format!("settings.lanes[{name}]{what}");
    for (i, name) in new.classes.iter().enumerate() {
        faults.require(!new.classes[..i].contains(name), key(name, ""), "is there twice");
    }
    let class_of = |settings: &Settings, name: &str| {
        let place = settings.classes.iter().position(|n| n == name)?;
        Some((settings.module.classes[place], settings.retired[place]))
    };
    let sources = context.platform.as_ref().map(|p| &p.settings).into_iter().chain(context.running.as_ref());
    let mut made_repeatable = BTreeSet::new();
    for settings in sources {
        for (class, name) in settings.module.classes.iter().zip(&settings.classes) {
            let new_effect = class_of(new, name).map(|(c, _)| c.effect);
            if class.effect == Effect::AtMostOnce && new_effect.is_some_and(|e| e != Effect::AtMostOnce) {
                made_repeatable.insert(name);
            }
        }
    }
    for name in made_repeatable {
        faults.require(false, key(name, ".effect"), "would allow repeats of an at-most-once class");
    }
    let Some(running) = &context.running else { return };
    for ((class, name), retired) in running.module.classes.iter().zip(&running.classes).zip(&running.retired)
    {
        if !context.usage.classes.contains(name) {
            continue;
        }
        match class_of(new, name) {
            // A retired class takes no new requests, and keeps its place until its last request is answered.
            None => faults.require(*retired, key(name, ""), "is in use; set retired = true first"),
            Some((new_class, _)) if class.effect == Effect::Deduplicated => {
                let keeps_window = new_class.effect == Effect::Deduplicated
                    && new_class.repeat_window >= class.repeat_window;
                let why = "would lose its key's window while requests are under way";
                faults.require(keeps_window, key(name, ".repeat_window_us"), why);
            }
            Some(_) => {}
        }
    }
}

/// Checks that zones and kinds keep their places: they are identified by these, so one that moved would be mistaken for
/// another.
fn check_vocabulary(faults: &mut Faults, old: &ZoneAndKindNames, new: &ZoneAndKindNames) {
    for (key, old, new) in [("zones", &old.zones, &new.zones), ("kinds", &old.kinds, &new.kinds)] {
        let keeps_places = old.iter().zip(new).all(|(o, n)| o == n) && new.len() >= old.len();
        faults.require(
            keeps_places,
            format!("settings.{key}"),
            "names may be added at the end, not moved or removed",
        );
    }
}

#[cfg(test)]
mod tests;
