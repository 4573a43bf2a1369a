//! A dispatcher for a function platform: sends each request to the worker expected to finish it first.
//!
//! [`Router`] is the decision module. It is given events ([`Event`]) and returns actions ([`Action`]): it sends a request
//! to the worker with the earliest predicted finish, and refuses it if even that is later than the time left. It has no
//! clock, network or threads of its own; the host passes the time in with every event. The other modules are that host:
//! [`node`] is its event loop.
//!
//! ```
//! use ochreward::{Action, Class, Effect, Event, KeyScope, WorkerEntry, Router, Settings, WorkerStatus};
//!
//! let settings = Settings {
//!     dispatcher_count: 1,
//!     own_index: 0,
//!     own_zone: 0,
//!     classes: vec![Class {
//!         latency_target: 500_000,
//!         deadline: 2_000_000,
//!         effect: Effect::Idempotent,
//!         key_scope: KeyScope::All,
//!         repeat_window: 0,
//!         credit: 1.0,
//!         late_worth: 0.1,
//!     }],
//!     tenant_quotas: vec![],
//!     over_share_worth: 1.0,
//!     report_fields: vec![],
//!     max_attempts: 3,
//!     may_duplicate: true,
//!     may_cancel: true,
//!     max_retry_after: 1_000_000,
//!     min_batch_interval: 1_000,
//!     cold_share: 0.25,
//!     warm_after: 10_000_000,
//!     fall_multiple: 4.0,
//!     fall_window: 2_000_000,
//!     load_orders_allowed: false,
//!     loads_on_miss: true,
//!     keep_alive: 10_000_000,
//!     load_window: 0,
//!     loads_anyway: 0.0,
//!     loads_per_request: 0.0,
//!     cross_zone_price: 0.01,
//!     fetch_price: 0.05,
//!     memory_price: 0.0,
//!     list_on_request: false,
//! };
//! let mut router = Router::new(settings, 42, 0);
//! let mut actions = Vec::new();
//! let entry = WorkerEntry {
//!     worker: "w1".into(),
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     standing: WorkerStatus::Healthy,
//!     ready_at: None,
//!     size: 0.0,
//! };
//! router.handle(0, &Event::Workers { complete: true, entries: vec![entry] }, &mut actions);
//! let request = Event::Request {
//!     id: 7,
//!     class: 0,
//!     tenant: 0,
//!     function: "resize".into(),
//!     replica_concurrency: 2.0,
//!     load_time: None,
//!     work_hint: None,
//!     is_retry: false,
//!     time_left: 2_000_000,
//! };
//! router.handle(1_000, &request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 7, worker, .. } if &**worker == "w1")));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod agent;
pub mod api;
pub mod bans;
pub mod cli;
pub mod config;
pub mod control;
pub mod core;
pub mod counters;
pub mod discovery;
pub mod executor;
pub mod front;
pub mod handover;
pub mod http;
pub mod keys;
pub mod logs;
pub mod node;
pub mod overload;
pub mod peers;
pub mod versions;
pub mod zones;

pub use api::*;
pub use control::{BudgetDivision, Router};
pub use ochreward_net as net;
