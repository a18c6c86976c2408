//! The invariants that all responses and states must satisfy.

use super::node::RequestId;
use super::requests::Request;
use quillpulley::control::response::Response;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// A request, with the state of the system when it was sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub request: Request,
    /// The time in milliseconds.
    pub sent_at: u64,
    /// The newest version that had been acknowledged to any operator. Responses must not be based on an older
    /// one.
    min_version: u64,
    /// Whether a process may still act on the request.
    pub is_open: bool,
    /// Whether its operator has stopped waiting for the response.
    is_given_up: bool,
}

/// The outcome of all requests to activate a configuration.
#[derive(Clone, Debug, Default)]
struct Outcome {
    acknowledged: bool,
    rejected: bool,
    /// The time in milliseconds at which the last request ended without a definite response; `None` while a
    /// request is open, or after a definite response.
    abandoned_at: Option<u64>,
    /// Whether a command that was sent after `abandoned_at` has been answered. The configuration must then
    /// not be activated any more, unless it is sent again.
    superseded: bool,
}

/// A base version, and the configuration to activate on it.
type ConfigurationChange = (u64, Vec<u8>);

/// Checks the invariants against all entries that were applied and all responses that were given.
#[derive(Default)]
pub struct Checker {
    /// The index of the last entry that any process has applied.
    applied_index: u64,
    /// The state after all entries up to that index.
    pub state: ControlState,
    /// The configuration that was activated on each base version.
    activated_by_base: BTreeMap<u64, Vec<u8>>,
    /// The activated configurations by version.
    activated_by_version: BTreeMap<u64, Vec<u8>>,
    outcomes: BTreeMap<ConfigurationChange, Outcome>,
    /// The configuration that was acknowledged on each base version.
    acknowledged_by_base: BTreeMap<u64, Vec<u8>>,
    /// The newest version that has been acknowledged to any operator.
    newest_acknowledged: u64,
    pub sent_requests: Vec<SentRequest>,
    /// Whether each zone must be evacuated, according to the last acknowledgement to its only operator. A
    /// zone has no value from the sending of a command until its acknowledgement, or while another command
    /// for it is open.
    confirmed_evacuations: BTreeMap<String, bool>,
    /// The number of responses of each kind.
    pub responses: BTreeMap<&'static str, usize>,
}

impl Checker {
    pub fn record_sent(&mut self, now: u64, request: &Request) -> RequestId {
        if let Request::Replace { base, body, .. } = request {
            let outcome = self.outcomes.entry((*base, body.clone())).or_default();
            (outcome.abandoned_at, outcome.superseded) = (None, false);
        }
        if let Request::Evacuate { zone, .. } = request {
            self.confirmed_evacuations.remove(zone);
        }
        let min_version = self.newest_acknowledged;
        self.sent_requests.push(SentRequest {
            request: request.clone(),
            sent_at: now,
            min_version,
            is_open: true,
            is_given_up: false,
        });
        self.sent_requests.len() - 1
    }

    /// Records that the operator of a request has stopped waiting for its response.
    pub fn record_given_up(&mut self, id: RequestId) {
        self.sent_requests[id].is_given_up = true;
    }

    /// Returns whether an operator waits for the response to a command for the zone.
    pub fn has_open_evacuation(&self, wanted: &str) -> bool {
        let is_open = |sent: &SentRequest| {
            let is_awaited = sent.is_open && !sent.is_given_up;
            is_awaited && matches!(&sent.request, Request::Evacuate { zone, .. } if zone == wanted)
        };
        self.sent_requests.iter().any(is_open)
    }

    /// Records that the operator of a zone has received an acknowledgement of its command, unless another
    /// command for the zone is open.
    pub fn confirm_evacuation(&mut self, zone: &str, active: bool) {
        if !self.has_open_evacuation(zone) {
            self.confirmed_evacuations.insert(zone.to_string(), active);
            self.check_zones();
        }
    }

    /// Records that a process has applied an entry. Ignores entries that another process has applied before.
    pub fn record_applied(&mut self, index: u64, entry: Option<Entry>) {
        if index <= self.applied_index {
            return;
        }
        let before = self.state.version();
        self.state.apply(&entry.expect("the first process that applies an entry has stored it"));
        self.applied_index = index;
        if self.state.version() != before {
            self.check_activated(before);
        }
        self.check_zones();
    }

    fn check_activated(&mut self, base: u64) {
        let version = self.state.version();
        assert!(version > base, "the active version decreases");
        let body = self.state.body().expect("a configuration is active").to_vec();
        let outcome = self
            .outcomes
            .get(&(base, body.clone()))
            .expect("an activated configuration was sent by an operator");
        assert!(!outcome.rejected, "a rejected configuration on base version {base} was activated");
        assert!(
            !outcome.superseded,
            "a configuration on base version {base} was activated after a later command was answered"
        );
        self.activated_by_base.insert(base, body.clone());
        self.activated_by_version.insert(version, body);
    }

    /// Checks that the configuration of a process was activated under its version.
    pub fn check_active_configuration(&self, state: &ControlState) {
        let known = self.activated_by_version.get(&state.version()).map(Vec::as_slice);
        assert_eq!(known, state.body(), "a process has a configuration that was never activated");
    }

    /// Records that a request was answered, or that its process has ended.
    pub fn record_response(&mut self, now: u64, id: RequestId, response: Option<&Response>) {
        assert!(std::mem::replace(&mut self.sent_requests[id].is_open, false), "a request is answered twice");
        let SentRequest { request, min_version, sent_at, .. } = self.sent_requests[id].clone();
        if let Some(response) = response {
            *self.responses.entry(response_kind(response)).or_default() += 1;
            self.check_response(&request, min_version, response);
            if is_definite(response) && request != Request::Read {
                self.supersede_abandoned(sent_at);
            }
        }
        if let Request::Replace { base, body, .. } = &request {
            self.record_end(now, &request, (*base, body.clone()));
        }
    }

    fn check_response(&mut self, request: &Request, min_version: u64, response: &Response) {
        match (request, response) {
            (_, Response::Unavailable | Response::Redirect(_)) => {}
            (Request::Evacuate { .. }, Response::ConfirmationRequired(_)) => {}
            (Request::Replace { base, version, body, valid }, Response::Acknowledged) => {
                assert!(*valid, "an invalid configuration on base version {base} is acknowledged");
                self.acknowledge(*base, *version, body);
            }
            (Request::Replace { base, body, .. }, Response::Conflict { current }) => {
                assert!(
                    *current >= min_version,
                    "a conflict names version {current}, older than the acknowledged version {min_version}"
                );
                self.reject(*base, body);
            }
            (Request::Replace { base, body, valid, .. }, Response::Invalid(reason)) => {
                assert!(!valid, "a valid configuration on base version {base} is rejected: {reason}");
                self.reject(*base, body);
            }
            (Request::Evacuate { zone, active }, Response::Acknowledged) => {
                assert_eq!(
                    self.state.is_evacuated(zone),
                    *active,
                    "an acknowledged evacuation command for {zone} is not in effect"
                );
            }
            (Request::Read, Response::NoConfiguration) => {
                assert_eq!(
                    min_version, 0,
                    "a read returns no configuration although version {min_version} was acknowledged"
                )
            }
            (Request::Read, Response::Configuration(body)) => {
                let found = self.activated_by_version.iter().rev().find(|(_, known)| known[..] == body[..]);
                let (version, _) = found.expect("a read returns an activated configuration");
                assert!(
                    *version >= min_version,
                    "a read of version {version} is older than the acknowledged version {min_version}"
                );
            }
            (_, response) => panic!("{response:?} is not a response to this kind of request"),
        }
    }

    fn acknowledge(&mut self, base: u64, version: u64, body: &[u8]) {
        let winner = self.acknowledged_by_base.entry(base).or_insert_with(|| body.to_vec());
        assert_eq!(winner, body, "two configurations on base version {base} are acknowledged");
        assert!(
            self.activated_by_base.get(&base).is_some_and(|activated| activated == body),
            "an acknowledged configuration on base version {base} is not in effect"
        );
        let outcome = self.outcomes.entry((base, body.to_vec())).or_default();
        assert!(!outcome.rejected, "a rejected configuration on base version {base} is acknowledged");
        outcome.acknowledged = true;
        self.newest_acknowledged = self.newest_acknowledged.max(version);
    }

    fn reject(&mut self, base: u64, body: &[u8]) {
        let activated = self.activated_by_base.get(&base).is_some_and(|activated| activated == body);
        assert!(!activated, "a configuration on base version {base} that was activated is rejected");
        self.outcomes.entry((base, body.to_vec())).or_default().rejected = true;
    }

    /// Marks a configuration as abandoned if its last request has ended and none got a definite response.
    fn record_end(&mut self, now: u64, request: &Request, change: ConfigurationChange) {
        if self.sent_requests.iter().any(|sent| sent.is_open && sent.request == *request) {
            return;
        }
        let outcome = self.outcomes.entry(change).or_default();
        if !outcome.acknowledged && !outcome.rejected {
            outcome.abandoned_at = Some(now);
        }
    }

    /// Updates which configurations are superseded, after a response to a command that was sent at `sent_at`:
    /// those that were abandoned before that time and have not been activated.
    fn supersede_abandoned(&mut self, sent_at: u64) {
        for ((base, body), outcome) in &mut self.outcomes {
            let is_active = self.activated_by_base.get(base).is_some_and(|activated| activated == body);
            outcome.superseded = !is_active && outcome.abandoned_at.is_some_and(|at| at < sent_at);
        }
    }

    /// Checks that the zones are evacuated as their operators were told.
    fn check_zones(&self) {
        for (zone, active) in &self.confirmed_evacuations {
            let is_evacuated = self.state.is_evacuated(zone);
            assert_eq!(is_evacuated, *active, "the evacuation of {zone} changed without a command");
        }
    }

    /// Checks that the state of a lease holder includes all acknowledged versions.
    pub fn check_lease_holder(&self, state: &ControlState) {
        let min_version = self.newest_acknowledged;
        assert!(
            state.version() >= min_version,
            "the lease holder lacks the acknowledged version {min_version}"
        );
    }

    /// Returns the number of configurations that were activated.
    pub fn activation_count(&self) -> usize {
        self.activated_by_base.len()
    }

    /// Returns the newest activated versions, at most 3.
    pub fn recent_versions(&self) -> BTreeSet<u64> {
        self.activated_by_version.keys().rev().take(3).copied().collect()
    }
}

/// Returns whether a response tells the operator the outcome of its request.
pub fn is_definite(response: &Response) -> bool {
    !matches!(
        response,
        Response::Unavailable
            | Response::Redirect(_)
            | Response::ConfirmationRequired(_)
            | Response::HistoryExpired { .. }
    )
}

fn response_kind(response: &Response) -> &'static str {
    match response {
        Response::Acknowledged => "acknowledged",
        Response::Conflict { .. } => "conflict",
        Response::Invalid(_) => "invalid",
        Response::Redirect(_) => "redirect",
        Response::ConfirmationRequired(_) => "confirmation",
        Response::Unavailable => "unavailable",
        Response::HistoryExpired { .. } => "expired",
        Response::Configuration(_) | Response::NoConfiguration | Response::Status(_) => "read",
    }
}
