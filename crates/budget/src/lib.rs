//! Budgets shared by the dispatchers of a fleet, and an admission level that they agree on. The crate holds
//! decisions and state only: it does no I/O, and the caller passes the clock in.
//!
//! - [`Ledger`]: a fleet-wide resource of which each member owns a part. A member lends what it does not need
//!   to other members under leases of bounded duration (Gray and Cheriton: "Leases: An Efficient
//!   Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989, section 2, with the bound
//!   on clock rates of section 5). At every instant, under any partition, stall, crash or restart, all
//!   members together may spend at most the whole; `tests/model.rs` checks this.
//! - [`TokenBucket`]: a token bucket that spends a rate.
//! - [`CircuitBreakers`]: circuit breakers for failed workers, which return through single trials and a ramp.
//! - [`QueueingDelay`]: an estimate of the queueing delay at workers, as one dispatcher observes it (CoDel:
//!   Nichols, Jacobson, RFC 8289).
//! - [`Admission`]: the admission threshold that the members of a fleet agree on (DAGOR: Zhou and others:
//!   "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4).
//!
//! ```
//! use ochreward_budget::{Ledger, ResourceTerms};
//! let terms = ResourceTerms { total: 1_000, ..ResourceTerms::default() };
//! let (mut a, mut b) = (Ledger::new(terms.clone(), 1, 0), Ledger::new(terms, 2, 0));
//! a.set_parts(2);
//! b.set_parts(2);
//! let now = 10_000_000;
//! let request = b.request_lease(now, "a", 200, 1).expect("there is room");
//! let grant = a.handle_request(now, "b", &request);
//! assert!(b.handle_grant(now, "a", &grant));
//! assert_eq!((a.spendable(now), b.spendable(now)), (300, 700));
//! ```
//!
//! Times are whole microseconds of a monotonic clock that also advances while the process is suspended. All
//! tables are bounded ([`MAX_LEASES`], [`MAX_PENDING_REQUESTS`], [`admission::MAX_REPORTS`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod bucket;
pub mod circuit;
mod ledger;
mod queueing;
pub mod wire;

pub use admission::Admission;
pub use bucket::TokenBucket;
pub use circuit::CircuitBreakers;
pub use ledger::{
    LeaseGrant, LeaseRequest, Ledger, MAX_LEASES, MAX_PENDING_REQUESTS, ResourceTerms, SafetyRules,
};
pub use queueing::QueueingDelay;

/// A time or a duration in microseconds.
pub type Micros = u64;
