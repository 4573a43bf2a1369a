//! The agent: keeps a number of dispatcher instances running and reports the health of each to load balancers and
//! operators. The instances and the intervals come from the operator's file.

mod instance;
mod probe;
mod supervisor;

pub use supervisor::Supervisor;
