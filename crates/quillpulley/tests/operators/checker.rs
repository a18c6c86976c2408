//! The invariants of all responses, stated once.

use super::node::RequestId;
use super::requests::Request;
use quillpulley::control::response::Response;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// A request as it was sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub request: Request,
    pub sent_at: u64,
    /// The newest version that was acknowledged to anybody when it was sent.
    newest: u64,
    /// Returns whether a process may still act on it.
    pub open: bool,
}

/// What is known of a configuration.
#[derive(Clone, Debug, Default)]
struct Outcome {
    acknowledged: bool,
    rejected: bool,
    /// It has no open request, and got no definite response: when the last one ended.
    abandoned_at: Option<u64>,
    /// Another command was answered since, so it must not come into force any more.
    superseded: bool,
}

type Change = (u64, Vec<u8>);

/// All that was committed and answered so far.
#[derive(Default)]
pub struct Checker {
    /// The index of the last entry that was applied anywhere.
    applied: u64,
    /// The state that these make.
    pub state: ControlState,
    /// What came into force on each base.
    chain: BTreeMap<u64, Vec<u8>>,
    /// The texts of versions that came into force.
    versions: BTreeMap<u64, Vec<u8>>,
    outcomes: BTreeMap<Change, Outcome>,
    acknowledged_on: BTreeMap<u64, Vec<u8>>,
    newest_acknowledged: u64,
    pub sent_requests: Vec<SentRequest>,
    /// The last definite response to the only operator of a zone, with no command of its own in flight.
    confirmed_evacuations: BTreeMap<String, bool>,
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
        let newest = self.newest_acknowledged;
        self.sent_requests.push(SentRequest { request: request.clone(), sent_at: now, newest, open: true });
        self.sent_requests.len() - 1
    }

    /// Returns whether a process may still act on a command for the zone.
    pub fn has_open_evacuation(&self, wanted: &str) -> bool {
        let is_open = |sent: &SentRequest| {
            sent.open && matches!(&sent.request, Request::Evacuate { zone, .. } if zone == wanted)
        };
        self.sent_requests.iter().any(is_open)
    }

    /// The operator of a zone knows that its command holds.
    pub fn confirm_evacuation(&mut self, zone: &str, active: bool) {
        if !self.has_open_evacuation(zone) {
            self.confirmed_evacuations.insert(zone.to_string(), active);
            self.check_zones();
        }
    }

    /// An entry was applied by some process.
    pub fn record_applied(&mut self, index: u64, entry: Option<Entry>) {
        if index <= self.applied {
            return;
        }
        let before = self.state.version();
        self.state.apply(&entry.expect("whoever commits an entry has it on its disk"));
        self.applied = index;
        if self.state.version() != before {
            self.check_activated(before);
        }
        self.check_zones();
    }

    fn check_activated(&mut self, base: u64) {
        let version = self.state.version();
        assert!(version > base, "the version goes back");
        let body = self.state.body().expect("a configuration").to_vec();
        let outcome = self.outcomes.get(&(base, body.clone())).expect("only what was sent comes into force");
        assert!(!outcome.rejected, "a rejected configuration on {base} came into force");
        assert!(
            !outcome.superseded,
            "a configuration on {base} came into force after a later command was answered"
        );
        self.chain.insert(base, body.clone());
        self.versions.insert(version, body);
    }

    /// A process shows a state.
    pub fn check_shown(&self, state: &ControlState) {
        let known = self.versions.get(&state.version()).map(Vec::as_slice);
        assert_eq!(known, state.body(), "a state has a version that was never active");
    }

    /// A call was answered, or its process has ended.
    pub fn record_response(&mut self, now: u64, id: RequestId, response: Option<&Response>) {
        assert!(std::mem::replace(&mut self.sent_requests[id].open, false), "a request is answered twice");
        let SentRequest { request, newest, sent_at, .. } = self.sent_requests[id].clone();
        if let Some(response) = response {
            *self.responses.entry(name(response)).or_default() += 1;
            self.check_response(&request, newest, response);
            if !matches!(response, Response::Unavailable | Response::Redirect(_)) && request != Request::Read
            {
                self.supersede_abandoned(sent_at);
            }
        }
        if let Request::Replace { base, body, .. } = &request {
            self.record_end(now, &request, (*base, body.clone()));
        }
    }

    fn check_response(&mut self, request: &Request, newest: u64, response: &Response) {
        match (request, response) {
            (_, Response::Unavailable | Response::Redirect(_)) => {}
            (Request::Replace { base, version, body, valid }, Response::Acknowledged) => {
                assert!(*valid, "an invalid configuration on {base} is acknowledged");
                self.acknowledge(*base, *version, body);
            }
            (Request::Replace { base, body, .. }, Response::Conflict { current }) => {
                assert!(*current >= newest, "rejected for version {current}, older than {newest}");
                self.reject(*base, body);
            }
            (Request::Replace { base, body, valid, .. }, Response::Invalid(why)) => {
                assert!(!valid, "a valid configuration on {base} is rejected: {why}");
                self.reject(*base, body);
            }
            (Request::Evacuate { zone, active }, Response::Acknowledged) => {
                assert_eq!(self.state.is_evacuated(zone), *active, "an evacuation of {zone} is not active");
            }
            (Request::Read, Response::NoConfiguration) => {
                assert_eq!(newest, 0, "a read misses version {newest}")
            }
            (Request::Read, Response::Configuration(body)) => {
                let found = self.versions.iter().rev().find(|(_, known)| known[..] == body[..]);
                let (version, _) = found.expect("what is read was active");
                assert!(*version >= newest, "a read of version {version} is older than {newest}");
            }
            (_, response) => panic!("{response:?} is no response to what was asked"),
        }
    }

    fn acknowledge(&mut self, base: u64, version: u64, body: &[u8]) {
        let winner = self.acknowledged_on.entry(base).or_insert_with(|| body.to_vec());
        assert_eq!(winner, body, "two configurations on {base} are acknowledged");
        assert!(
            self.chain.get(&base).is_some_and(|accepted| accepted == body),
            "not active, but acknowledged"
        );
        let outcome = self.outcomes.entry((base, body.to_vec())).or_default();
        assert!(!outcome.rejected, "a rejected configuration on {base} is acknowledged");
        outcome.acknowledged = true;
        self.newest_acknowledged = self.newest_acknowledged.max(version);
    }

    fn reject(&mut self, base: u64, body: &[u8]) {
        let accepted = self.chain.get(&base).is_some_and(|accepted| accepted == body);
        assert!(!accepted, "a configuration on {base} that was accepted is rejected");
        self.outcomes.entry((base, body.to_vec())).or_default().rejected = true;
    }

    /// A configuration that got no definite response, and of which no request is in flight, counts as abandoned.
    fn record_end(&mut self, now: u64, request: &Request, change: Change) {
        if self.sent_requests.iter().any(|sent| sent.open && sent.request == *request) {
            return;
        }
        let outcome = self.outcomes.entry(change).or_default();
        if !outcome.acknowledged && !outcome.rejected {
            outcome.abandoned_at = Some(now);
        }
    }

    /// A command that was sent at `sent_at` was answered: what was abandoned before that, and is not active, must
    /// not come into force any more unless it is sent again.
    fn supersede_abandoned(&mut self, sent_at: u64) {
        for ((base, body), outcome) in &mut self.outcomes {
            let is_active = self.chain.get(base).is_some_and(|accepted| accepted == body);
            outcome.superseded = !is_active && outcome.abandoned_at.is_some_and(|at| at < sent_at);
        }
    }

    fn check_zones(&self) {
        for (zone, active) in &self.confirmed_evacuations {
            let is = self.state.is_evacuated(zone);
            assert_eq!(is, *active, "the evacuation of {zone} changed without a command");
        }
    }

    /// All that was acknowledged is in the state of a process that leads.
    pub fn check_leader(&self, state: &ControlState) {
        let newest = self.newest_acknowledged;
        assert!(state.version() >= newest, "the acknowledged version {newest} is lost");
    }

    /// The bases on which something came into force.
    pub fn changes(&self) -> usize {
        self.chain.len()
    }

    /// Versions that operators may build on: those that came into force lately.
    pub fn recent_versions(&self) -> BTreeSet<u64> {
        self.versions.keys().rev().take(3).copied().collect()
    }
}

fn name(response: &Response) -> &'static str {
    match response {
        Response::Acknowledged => "acknowledged",
        Response::Conflict { .. } => "conflict",
        Response::Invalid(_) => "invalid",
        Response::Redirect(_) => "redirect",
        Response::Unavailable => "unavailable",
        Response::HistoryExpired { .. } => "expired",
        Response::Configuration(_) | Response::NoConfiguration | Response::Status(_) => "read",
    }
}
