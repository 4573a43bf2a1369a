//! Streamed configuration, the dispatcher's end: what may run ([`rules`]), the thread that reads and keeps versions
//! ([`Keeper`]), and the connection to the control service ([`Stream`]).

mod keeper;
pub mod rules;
mod stream;

pub use keeper::{Done, Keeper, read};
pub use stream::{News, Start, Stream};
