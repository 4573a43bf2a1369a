//! The identifier of an attempt and the result it ended with.

use crate::api::{Outcome, ReplicaStatus, RequestId};

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt, from 0.
    pub number: usize,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What the answer reports about the replica.
    pub found: ReplicaStatus,
    /// The number of requests for the function at the worker, if reported.
    pub concurrent_requests: Option<u32>,
    /// The load report of the answer: one value per name in the settings, in their order; empty if there is
    /// none.
    pub report: Vec<f64>,
    /// The body of the answer, if the request was served.
    pub body: Vec<u8>,
}

impl AttemptResult {
    /// Returns a result with an outcome and no further details.
    pub fn from_outcome(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            found: ReplicaStatus::NotReported,
            concurrent_requests: None,
            report: Vec::new(),
            body: Vec::new(),
        }
    }
}
