//! Judges what the clients saw of their requests against what the servers ran.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A connection that ends without a complete answer later than this after the last byte of the request was sent
/// counts as lost, also if the request has not been passed on (`LossSlackMs`).
pub const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

/// What a client saw of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status, and, for 200, the body of the server.
    Complete { status: u16 },
    /// A complete answer with status 200 and another body.
    Foreign,
    /// The connection ended after a part of the answer.
    Cut { received: usize },
    /// The connection ended before any byte of the answer.
    Closed,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    pub kind: Kind,
    pub end: End,
    /// The time from the last byte of the request to the end.
    pub after: Duration,
    pub deadline: Duration,
    /// When the request was sent, since the start of the day.
    pub sent_at: Duration,
}

/// What a day has shown.
#[derive(Default)]
pub struct Summary {
    pub requests: usize,
    pub complete: usize,
    pub refused: usize,
    pub closed_unread: usize,
    pub violations: Vec<String>,
}

impl Summary {
    /// Judges the requests of a day. `executions` says how often each request ran.
    pub fn judge(ended: &[Ended], executions: &BTreeMap<String, u32>) -> Summary {
        let mut summary = Summary { requests: ended.len(), ..Summary::default() };
        for request in ended {
            summary.count(request, executions.get(&request.id).copied().unwrap_or(0));
        }
        summary
    }

    fn count(&mut self, request: &Ended, executions: u32) {
        let within_deadline = request.after < request.deadline;
        match request.end {
            End::Complete { status: 200 } => self.complete += 1,
            End::Complete { status } => {
                self.refused += 1;
                let promises = matches!(status, 408 | 421 | 429 | 503);
                if promises && executions > 0 && request.kind != Kind::Idempotent {
                    self.violate("REFUSED", request, executions);
                }
            }
            End::Foreign => self.violate("MIXED", request, executions),
            End::Cut { .. } if within_deadline => self.violate("LOST", request, executions),
            End::Closed if within_deadline && (executions > 0 || request.after > LOSS_SLACK) => {
                self.violate("LOST", request, executions);
            }
            End::Cut { .. } | End::Closed => self.closed_unread += 1,
        }
        if request.kind != Kind::Idempotent && executions > 1 {
            self.violate("TWICE", request, executions);
        }
    }

    fn violate(&mut self, rule: &str, request: &Ended, executions: u32) {
        let Ended { id, kind, end, after, deadline, sent_at } = request;
        self.violations.push(format!(
            "{rule}: {id} ({kind:?}), sent at {sent_at:.3?}: {end:?} after {after:.3?} of {deadline:?}, executions: {executions}"
        ));
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} requests, {} complete, {} refused, {} on connections that closed unread or after the deadline, {} violations",
            self.requests,
            self.complete,
            self.refused,
            self.closed_unread,
            self.violations.len()
        )
    }
}
