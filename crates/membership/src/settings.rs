//! Time-outs, periods and limits of a membership. Times are in microseconds.

use crate::Micros;

/// The settings of a membership. All members of a group should use the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The group's name; packets of other groups are dropped.
    pub group: String,
    /// The probe period (SWIM's protocol period), in which one member is probed.
    pub probe_period: Micros,
    /// How long a direct probe waits for an ack before indirect probes are sent.
    pub probe_timeout: Micros,
    /// The number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// The minimum duration of a suspicion, in probe periods times the decimal logarithm of the number of members.
    pub suspicion_min_factor: f64,
    /// The maximum duration of a suspicion, as a multiple of the minimum (Lifeguard's dogpile: confirmations shorten
    /// it).
    pub suspicion_max_factor: f64,
    /// A claim is transmitted this many times the decimal logarithm of the number of members, rounded up, plus once.
    pub retransmit_factor: f64,
    /// The mean period of table exchanges with a member that is up, and with a failed member or a seed.
    pub sync_period: Micros,
    /// How long a budget divisor is held before it falls, and so a share before it rises: the longest time in which
    /// something that an unreachable member started can still take effect.
    pub share_hold: Micros,
    /// The join timeout: a starting member without a reply continues alone after it.
    pub join_timeout: Micros,
    /// How long a member that left is kept in the table.
    pub departed_retention: Micros,
    /// The most members in the table.
    pub max_members: usize,
    /// The number of instances by the platform's settings. A member that is alone takes at most the share of one of
    /// these.
    pub expected_members: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            group: "ochreward".to_string(),
            probe_period: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            suspicion_min_factor: 4.0,
            suspicion_max_factor: 4.0,
            retransmit_factor: 4.0,
            sync_period: 2_000_000,
            share_hold: 5_000_000,
            join_timeout: 3_000_000,
            departed_retention: 60_000_000,
            max_members: 4_096,
            expected_members: 1,
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
        let min_duration =
            self.suspicion_min_factor * Settings::log_scale(members).max(1.0) * self.probe_period as f64;
        (min_duration as Micros, (min_duration * self.suspicion_max_factor.max(1.0)) as Micros)
    }

    /// Returns how many times a claim is transmitted.
    pub(crate) fn max_transmissions(&self, members: usize) -> u32 {
        (self.retransmit_factor * Settings::log_scale(members)).ceil() as u32 + 1
    }
}
