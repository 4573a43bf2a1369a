//! The fronts: each turns the bytes of its protocol into requests of the core, and answers into bytes. They
//! decide nothing.

mod info;
pub mod thrift;

pub use info::{Fields, Invalid, Sketch};
