//! Discovery of executors: the list read from the configuration at the start, and from the DNS name service afterwards.
//!
//! [`Resolver`] queries the service and owns its sockets. [`ListValidator`] validates each received list, and [`ListTracker`]
//! decides which list is in use and which of its executors may be sent requests.

mod dns;
mod list;
mod resolver;
mod schedule;
mod starts;
mod tcp_exchange;
mod tracker;
mod udp_channel;
mod validate;

pub use list::{Executor, ExecutorState, MAX_EXECUTORS, MAX_ID_BYTES, ZoneAndKindNames};
pub use resolver::{InitialList, Resolver};
pub use starts::{KnownStart, NewStart, StartLimit, StartRange, WorkerStarts};
pub use tracker::{Decision, ListOrigin, ListTracker, ReceivedList};
pub use validate::{Doubt, EMPTY_HOLD_US, ListValidator, Verdict};
