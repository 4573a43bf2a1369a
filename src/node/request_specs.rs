//! Checks a request from a front against the settings and turns it into a [`RequestSpec`] for the core.
//!
//! Given the front's reading of the request, in names; returns the job, in places of the settings' lists, or the field
//! that is invalid. The body's size and the time-out are bounded here.

use crate::api::Effect;
use crate::config::Settings;
use crate::core::{PriorDelivery, RequestSpec};
use crate::front::{Delivery, Invalid, ParsedRequest};

/// Subtracted from a request's time-out, in microseconds: covers the network between client and dispatcher in both
/// directions and a late turn of the loop, since the client's time runs from when it sent the request.
pub(super) const NETWORK_MARGIN_US: u64 = 10_000;
/// The largest request body, in bytes, that the protocol allows.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Builds the job, with the names of class and tenant resolved to their places. `stalled_us` is how long the process did
/// not read its input: the client may have sent the request that much earlier than its front knows.
pub(super) fn build_job(
    settings: &Settings,
    sketch: ParsedRequest,
    body: Vec<u8>,
    delivery: Delivery,
    stalled_us: u64,
) -> Result<RequestSpec, Invalid> {
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let class =
        settings.class(&sketch.class).ok_or(Invalid { field: "op", why: "is no class of the settings" })?;
    // Executors drop repeats of a deduplicated request by its key; without one a repeat would be executed twice.
    if settings.module.classes[class].effect == Effect::Deduplicated && sketch.key.is_none() {
        return Err(Invalid { field: "dedupe", why: "is missing, and the class is keyed" });
    }
    // An executor that cannot read an oversize body closes the connection, which other clients' requests share.
    if body.len() > MAX_BODY_BYTES {
        return Err(Invalid { field: "body", why: "is larger than 16 KiB" });
    }
    // A client waits no longer than its class's deadline, so a far longer time-out is a client error. Deadlines can change
    // while requests are under way, so the longest of any class so far is the bound.
    if sketch.ttl_us > settings.longest_deadline_us.saturating_mul(2) {
        return Err(Invalid { field: "ttl", why: "is far longer than the class's time" });
    }
    let tenant = match &sketch.tenant {
        Some(name) => place(&settings.tenants, name).ok_or(Invalid { field: "org", why: "is no tenant" })?,
        None if settings.tenants.is_empty() => 0,
        None => return Err(Invalid { field: "org", why: "is missing" }),
    };
    let (prior_delivery, age_us) = match delivery {
        Delivery::First { age_us } => (PriorDelivery::None, age_us.max(stalled_us)),
        Delivery::Repeat { age_us: Some(age_us) } => {
            let age_us = age_us.max(stalled_us);
            (PriorDelivery::SentAgo(age_us), age_us)
        }
        Delivery::Repeat { age_us: None } => (PriorDelivery::AtUnknownTime, stalled_us),
    };
    Ok(RequestSpec {
        class,
        tenant,
        function: sketch.function,
        replica_concurrency: sketch.lanes,
        load_time: sketch.load_us,
        work_hint: sketch.work_us,
        is_retry: sketch.again,
        time_left: sketch.ttl_us.saturating_sub(age_us).saturating_sub(NETWORK_MARGIN_US),
        client_request_id: sketch.call,
        idempotency_key: sketch.key,
        body,
        prior_delivery,
    })
}
