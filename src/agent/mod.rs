//! The agent: keeps many instances running, tells balancers and operators how each of them is.

mod instance;
mod probe;
mod supervisor;

pub use supervisor::Supervisor;
