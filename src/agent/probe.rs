//! The health check of an instance, over the protocol of its clients.

use crate::front::thrift;
use crate::net::{Malformed, ProtocolHandler, Ring};

/// The protocol handler of a health-check connection; yields one answer per check, true if the instance is healthy.
pub struct HealthProbe;

impl ProtocolHandler for HealthProbe {
    type Out = Vec<bool>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<bool>) -> Result<(), Malformed> {
        while let Some((size, healthy)) = thrift::read_well(input.contiguous())? {
            out.push(healthy);
            input.consume(size);
        }
        Ok(())
    }
}
