//! The settings of one front: its broker, its session and the limits that it announces.

use std::net::SocketAddr;

/// The settings of the connection to one broker.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The broker's address.
    pub broker: SocketAddr,
    /// The client id; the broker keeps the session under it.
    pub client_id: String,
    /// The topic filter for requests.
    pub triggers: String,
    /// Unacknowledged requests that the broker may send at a time.
    pub receive_maximum: u16,
    /// The largest accepted packet, in bytes.
    pub maximum_packet: usize,
    /// The keep-alive interval in seconds.
    pub keep_alive: u16,
    /// Seconds for which the broker keeps the session of a disconnected dispatcher.
    pub session_expiry: u32,
    /// Seconds for which the broker keeps an answer.
    pub record_expiry: u32,
    /// User name and password, if the broker requires them.
    pub login: Option<(String, String)>,
}
