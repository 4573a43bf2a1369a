//! The control service: numbered versions kept durably, rolled out in waves, and who runs which.
//!
//! [`Service`] decides and [`Rollout`] stages, both without I/O; [`Log`] keeps the records that their state comes of;
//! [`Server`] is the loop around them, and [`admin`] what the command line says to it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
mod catalog;
pub mod cli;
pub mod log;
pub mod record;
mod rollout;
mod server;
mod service;

pub use catalog::Catalog;
pub use log::Log;
pub use rollout::{Made, Next, Phase, Plan, Report, Rollout, Seen};
pub use server::{Error as ServerError, Options, Server};
pub use service::{Act, Conn, Instance, Now, Outcome, Service};
