//! Time-outs, periods and limits of a membership. Times are in microseconds.

use crate::Micros;

/// The settings of a membership. All members of a group should use the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The group's name; packets of other groups are dropped.
    pub group: String,
    /// The probe period (SWIM's protocol period), in which one member is probed.
    pub probe_every: Micros,
    /// How long a direct probe waits for an ack before indirect probes are sent.
    pub probe_timeout: Micros,
    /// The number of members asked for an indirect probe.
    pub indirect: usize,
    /// The minimum duration of a suspicion, in probe periods times the decimal logarithm of the number of members.
    pub suspicion: f64,
    /// The maximum duration of a suspicion, as a multiple of the minimum (Lifeguard's dogpile: confirmations shorten
    /// it).
    pub suspicion_most: f64,
    /// A claim is transmitted this many times the decimal logarithm of the number of members, rounded up, plus once.
    pub retransmit: f64,
    /// The mean period of table exchanges with a member that is up, and with a failed member or a seed.
    pub sync_every: Micros,
    /// How long a budget divisor is held before it falls, and so a share before it rises: the longest time in which
    /// something that an unreachable member started can still take effect.
    pub hold: Micros,
    /// The join timeout: a starting member without a reply continues alone after it.
    pub join_patience: Micros,
    /// How long a member that left is kept in the table.
    pub forget: Micros,
    /// The most members in the table.
    pub most_members: usize,
    /// The number of instances by the platform's settings. A member that is alone takes at most the share of one of
    /// these.
    pub expected: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            group: "ochreward".to_string(),
            probe_every: 500_000,
            probe_timeout: 150_000,
            indirect: 3,
            suspicion: 4.0,
            suspicion_most: 4.0,
            retransmit: 4.0,
            sync_every: 2_000_000,
            hold: 5_000_000,
            join_patience: 3_000_000,
            forget: 60_000_000,
            most_members: 4_096,
            expected: 1,
        }
    }
}

impl Settings {
    /// Returns the decimal logarithm of the group's size by which SWIM scales its bounds, at least 0.3 (two members).
    fn log_scale(members: usize) -> f64 {
        ((members + 1) as f64).log10().max(0.3)
    }

    /// Returns the minimum and maximum duration of a suspicion.
    pub(crate) fn suspicion_bounds(&self, members: usize) -> (Micros, Micros) {
        let min_duration = self.suspicion * Settings::log_scale(members).max(1.0) * self.probe_every as f64;
        (min_duration as Micros, (min_duration * self.suspicion_most.max(1.0)) as Micros)
    }

    /// Returns how many times a claim is transmitted.
    pub(crate) fn max_transmissions(&self, members: usize) -> u32 {
        (self.retransmit * Settings::log_scale(members)).ceil() as u32 + 1
    }
}
