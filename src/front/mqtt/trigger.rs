//! Reads the request out of a message that a station published.

use crate::front::{Fields, Invalid, ParsedRequest};
use ochreward_mqtt::Qos;
use ochreward_mqtt::packet::Publish;

/// Parses a trigger: the parameters of its request, and when its client sent it.
pub(super) fn parse_trigger(
    publish: &Publish,
    fields: &Fields,
    retained: bool,
) -> Result<(ParsedRequest, u64), Invalid> {
    let sketch = ParsedRequest::read(fields)?;
    let sent = fields.get("sent").ok_or(Invalid { field: "sent", why: "is missing" })?;
    let sent = sent.parse().map_err(|_| Invalid { field: "sent", why: "must be Unix milliseconds" })?;
    if !retained {
        return Err(Invalid { field: "response-topic", why: "must end with a level that is the call's id" });
    }
    if publish.properties.correlation.is_none() {
        return Err(Invalid { field: "correlation-data", why: "is missing" });
    }
    if publish.qos != Qos::AtLeastOnce {
        return Err(Invalid { field: "qos", why: "must be 1" });
    }
    Ok((sketch, sent))
}
