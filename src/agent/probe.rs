//! Asks an instance whether it is well, over its clients' protocol.

use crate::front::thrift;
use crate::net::{Malformed, ProtocolHandler, Ring};

/// The speaker on the connection to an instance.
pub struct Prober;

impl ProtocolHandler for Prober {
    type Out = Vec<bool>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<bool>) -> Result<(), Malformed> {
        while let Some((size, well)) = thrift::read_well(input.contiguous())? {
            out.push(well);
            input.consume(size);
        }
        Ok(())
    }
}
