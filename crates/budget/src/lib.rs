//! Budgets that many dispatchers share, and a level of admission that agrees: decisions and state, without I/O and with the
//! clock passed in.
//!
//! - [`Ledger`]: a resource of a whole fleet, of which each member owns a part. It lends what it does not need to others, each
//!   time for a bounded time (leases after Gray and Cheriton: "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//!   File Cache Consistency", SOSP 1989, section 2, with the bound on clock rates of section 5). At every instant, in every
//!   cut, stall, crash and restart, what all together may spend is the whole at the most; `tests/model.rs` checks that.
//! - [`Bucket`]: spends a rate.
//! - [`Circuits`]: workers that failed, taken back by one trial at a time and a ramp.
//! - [`Queueing`]: how long requests queue at workers, as a dispatcher sees it (CoDel: Nichols, Jacobson, RFC 8289).
//! - [`Admission`]: the lowest worth that is let in (DAGOR: Zhou and others: "Overload Control for Scaling WeChat
//!   Microservices", SoCC 2018, section 4), as the members of a fleet agree on it.
//!
//! ```
//! use ochreward_budget::{Ledger, Terms};
//! let terms = Terms { whole: 1_000, ..Terms::default() };
//! let (mut a, mut b) = (Ledger::new(terms.clone(), 1, 0), Ledger::new(terms, 2, 0));
//! a.divide(2);
//! b.divide(2);
//! let now = 10_000_000;
//! let ask = b.ask(now, "a", 200, 1).expect("there is room");
//! let grant = a.asked(now, "b", &ask);
//! assert!(b.granted(now, "a", &grant));
//! assert_eq!((a.spendable(now), b.spendable(now)), (300, 700));
//! ```
//!
//! Times are whole microseconds of a monotonic clock that counts time in which the process was stopped. All tables are
//! bounded ([`MOST_LEASES`], [`MOST_ASKED`], [`admission::MOST_REPORTS`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod bucket;
pub mod circuit;
mod ledger;
mod queueing;
pub mod wire;

pub use admission::Admission;
pub use bucket::Bucket;
pub use circuit::Circuits;
pub use ledger::{Ask, Grant, Ledger, MOST_ASKED, MOST_LEASES, Rules, Terms};
pub use queueing::Queueing;

/// A time or a duration in microseconds.
pub type Micros = u64;
