//! Membership and failure detection among the dispatchers of one group, without I/O and with the time passed in.
//!
//! Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002: sections 3.1 indirect probes, 4.1 piggybacked dissemination, 4.2 suspicion, 4.3 probe rounds)
//! and Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
//! DSN-W 2018: self-awareness, dogpile, buddy system). `docs/design/membership.md` describes the additions: shares of a
//! common budget are computed so that a partition is never treated as a death ([`standing`]).
//!
//! The host passes in packets and the time, and takes packets and events out:
//!
//! ```
//! use ochreward_membership::{Membership, Identity, Record, Settings};
//! let at = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
//! let own = |name: &str, port| Identity { name: name.into(), address: at(port), instance: 1, incarnation: 1, record: Record::default() };
//! let mut a = Membership::new(own("a", 1), Settings::default(), vec![], 1, 0);
//! let mut b = Membership::new(own("b", 2), Settings::default(), vec![at(1)], 2, 0);
//! b.advance(0);
//! let (to, packet) = b.packets.pop_front().expect("a table exchange with its seed");
//! assert_eq!(to, at(1));
//! a.handle_packet(10, at(2), &packet);
//! assert!(a.members().any(|m| &*m.name == "b"));
//! ```
//!
//! Bounds: a packet has at most [`wire::MOST_PACKET`] bytes, a name [`wire::MAX_NAME_BYTES`] bytes, and a table
//! [`Settings::most_members`] members; the queues of packets, notes and events are bounded too. All times are whole
//! microseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod gossip;
mod health;
mod machine;
mod sample;
mod settings;
pub mod shares;
mod table;
pub mod wire;

pub use machine::{Event, Identity, Membership, Message, Stats};
pub use sample::sample;
pub use settings::Settings;
pub use shares::{Connectivity, ViewSummary};
pub use table::{Member, Source};
pub use wire::{Claim, Record, Serving, State};

/// A time or a duration in microseconds.
pub type Micros = u64;
