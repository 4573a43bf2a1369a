//! The fronts to MQTT brokers. The dispatcher is a client of a broker, receives requests (triggers) through a topic filter
//! and publishes each final answer as a retained message on the request's own response topic. The retained message is
//! also the record that the request was answered. [`Options`] bounds what one front receives at a time.

mod front;
mod options;
mod packets;
mod records;
mod session;
mod set;
mod trigger;

pub use options::Options;
pub use set::Fronts;
