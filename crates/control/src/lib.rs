//! The control service: stores numbered versions durably, rolls them out in waves, and tracks which instance runs which
//! version.
//!
//! [`Service`] holds the state and takes the decisions, [`Rollout`] stages one version; both are free of I/O. [`Log`]
//! stores the records from which their state is rebuilt, [`Server`] is the event loop around them, and [`admin`] is the
//! protocol that the command line uses.
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
pub use rollout::{InstanceOutcome, InstanceView, Phase, Rollout, RolloutPlan, RolloutReport, Transition};
pub use server::{Error as ServerError, Options, Server};
pub use service::{Action, ConnectionId, Instance, PublishOutcome, Service, Timestamp};
