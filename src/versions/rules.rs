//! Rules that a configuration version must keep: the platform's limits, and those for changes while requests are open.
//!
//! Given the platform's file, the running settings and what is in use, returns every rule that a version would violate.
//! The platform's limits hold whenever a version is in use, whichever of file and version changed last; the other rules
//! are for a version that is newly applied. Does no I/O.

use crate::api::{Class, Effect, KeyScope};
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

/// Returns the rules that the version would violate; none if it may be applied now.
pub fn violations(context: &CheckContext, new: &VersionedConfig) -> Vec<Fault> {
    let mut faults = platform_violations(context.platform.as_ref(), new);
    for fault in change_violations(context, new) {
        if faults.iter().all(|known| known.key != fault.key) {
            faults.push(fault);
        }
    }
    faults
}

/// Returns the platform's limits that the version would violate; none if it may be in use over this file. `platform` is
/// the content of the platform's file; `None` if it leaves the settings to versions.
pub fn platform_violations(platform: Option<&VersionedConfig>, new: &VersionedConfig) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    check_load_ration(&mut faults, platform, &new.settings);
    check_drain(&mut faults, platform, &new.settings);
    check_unique_names(&mut faults, &new.settings);
    if let Some(platform) = platform {
        check_resources(&mut faults, platform, new);
        check_effects(&mut faults, &platform.settings, &new.settings);
        check_keys(&mut faults, &platform.settings, &new.settings);
        check_vocabulary(&mut faults, &platform.settings.vocabulary, &new.settings.vocabulary);
    }
    faults.0
}

/// Returns the rules that the change from the running settings would violate.
fn change_violations(context: &CheckContext, new: &VersionedConfig) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    check_usage(&mut faults, &context.usage, new);
    if let Some(running) = &context.running {
        check_effects(&mut faults, running, &new.settings);
        check_classes_in_use(&mut faults, running, &context.usage.classes, &new.settings);
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

/// Checks the limits against the platform's.
fn check_resources(faults: &mut Faults, platform: &VersionedConfig, new: &VersionedConfig) {
    let (given, limits) = (platform.resources, new.resources);
    faults.require(limits.memory <= given.memory, "limits.memory_mb", "is over what the platform gives");
    faults.require(limits.sockets <= given.sockets, "limits.sockets", "is over what the platform gives");
}

/// Checks the limits against what is in use.
fn check_usage(faults: &mut Faults, usage: &Usage, new: &VersionedConfig) {
    let limits = new.resources;
    let used = |count: usize| format!("is less than is in use now, which is {count}");
    faults.require(limits.sockets > usage.descriptors, "limits.sockets", used(usage.descriptors));
    // Request bodies may use an eighth of the memory.
    faults.require(limits.memory / 8 >= usage.held_bytes, "limits.memory_mb", used(usage.held_bytes * 8));
    let max_open = new.settings.max_open;
    faults.require(max_open >= usage.requests, "settings.limits.max_open", used(usage.requests));
}

/// Returns the key of a class, or of one of its members.
fn class_key(name: &str, member: &str) -> String {
    format!("settings.lanes[{name}]{member}")
}

/// Checks that class names are unique.
fn check_unique_names(faults: &mut Faults, new: &Settings) {
    for (i, name) in new.classes.iter().enumerate() {
        faults.require(!new.classes[..i].contains(name), class_key(name, ""), "is there twice");
    }
}

/// Returns the class of that name in the settings.
fn class_of<'a>(settings: &'a Settings, name: &str) -> Option<&'a Class> {
    let index = settings.classes.iter().position(|n| n == name)?;
    settings.module.classes.get(index)
}

/// Checks that the at-most-once classes of `given` stay so.
fn check_effects(faults: &mut Faults, given: &Settings, new: &Settings) {
    for (class, name) in given.module.classes.iter().zip(&given.classes) {
        let is_repeatable = class_of(new, name).is_some_and(|c| c.effect != Effect::AtMostOnce);
        faults.require(
            class.effect != Effect::AtMostOnce || !is_repeatable,
            class_key(name, ".effect"),
            "would allow repeats of an at-most-once class",
        );
    }
}

/// Checks that keyed classes are repeated only where and as long as the platform's workers know a key.
fn check_keys(faults: &mut Faults, platform: &Settings, new: &Settings) {
    for (given, name) in platform.module.classes.iter().zip(&platform.classes) {
        let Some(class) = class_of(new, name).filter(|_| given.effect == Effect::Deduplicated) else {
            continue;
        };
        let window_key = class_key(name, ".repeat_window_us");
        if class.effect == Effect::Idempotent {
            faults.require(false, window_key, "would allow repeats without a window of a deduplicated class");
        } else if class.effect == Effect::Deduplicated {
            let why = "is longer than the platform's workers know a key";
            faults.require(class.repeat_window <= given.repeat_window, window_key, why);
            let why = "is wider than the platform's workers share a key";
            faults.require(
                scope_width(class.key_scope) <= scope_width(given.key_scope),
                class_key(name, ".key_scope"),
                why,
            );
        }
    }
}

/// Orders key scopes by the set of workers that they hold.
fn scope_width(scope: KeyScope) -> u8 {
    match scope {
        KeyScope::Cell => 0,
        KeyScope::Zone => 1,
        KeyScope::All => 2,
    }
}

/// Checks that no class with open requests is removed or loses its key's window.
fn check_classes_in_use(faults: &mut Faults, running: &Settings, in_use: &BTreeSet<String>, new: &Settings) {
    for ((class, name), retired) in running.module.classes.iter().zip(&running.classes).zip(&running.retired)
    {
        if !in_use.contains(name) {
            continue;
        }
        match class_of(new, name) {
            // A retired class takes no new requests, and keeps its place until its last request is answered.
            None => faults.require(*retired, class_key(name, ""), "is in use; set retired = true first"),
            Some(new_class) if class.effect == Effect::Deduplicated => {
                let keeps_window = new_class.effect == Effect::Deduplicated
                    && new_class.repeat_window >= class.repeat_window;
                let why = "would lose its key's window while requests are under way";
                faults.require(keeps_window, class_key(name, ".repeat_window_us"), why);
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
