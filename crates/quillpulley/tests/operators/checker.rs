//! What must hold of all answers, stated once.

use super::node::CallId;
use super::orders::Wish;
use quillpulley::control::response::Response;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// A call as it was sent.
#[derive(Clone, Debug)]
pub struct Operation {
    pub wish: Wish,
    pub sent_at: u64,
    /// The newest version that was acknowledged to anybody when it was sent.
    newest: u64,
    /// Whether a process may still act on it.
    pub open: bool,
}

/// What is known of a configuration.
#[derive(Clone, Debug, Default)]
struct Fate {
    acknowledged: bool,
    refused: bool,
    /// It has no open call, and was never answered clearly: the time of the last unclear end.
    given_up: Option<u64>,
    /// Another order was answered since, so it must not come into force any more.
    dead: bool,
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
    fates: BTreeMap<Change, Fate>,
    acknowledged_on: BTreeMap<u64, Vec<u8>>,
    newest_acknowledged: u64,
    pub calls: Vec<Operation>,
    /// What the only operator of a zone was told last, with no order of its own under way.
    promised: BTreeMap<String, bool>,
    pub answers: BTreeMap<&'static str, usize>,
}

impl Checker {
    pub fn sent(&mut self, now: u64, wish: &Wish) -> CallId {
        if let Wish::Replace { base, body, .. } = wish {
            let fate = self.fates.entry((*base, body.clone())).or_default();
            (fate.given_up, fate.dead) = (None, false);
        }
        if let Wish::Evacuate { zone, .. } = wish {
            self.promised.remove(zone);
        }
        let newest = self.newest_acknowledged;
        self.calls.push(Operation { wish: wish.clone(), sent_at: now, newest, open: true });
        self.calls.len() - 1
    }

    /// Whether a process may still act on an order for the zone.
    pub fn has_open_evacuation(&self, wanted: &str) -> bool {
        let is_open = |call: &Operation| {
            call.open && matches!(&call.wish, Wish::Evacuate { zone, .. } if zone == wanted)
        };
        self.calls.iter().any(is_open)
    }

    /// The operator of a zone knows that its order holds.
    pub fn promise(&mut self, zone: &str, active: bool) {
        if !self.has_open_evacuation(zone) {
            self.promised.insert(zone.to_string(), active);
            self.check_zones();
        }
    }

    /// An entry was applied by some process.
    pub fn applied(&mut self, index: u64, entry: Option<Entry>) {
        if index <= self.applied {
            return;
        }
        let before = self.state.version();
        self.state.apply(&entry.expect("whoever commits an entry has it on its disk"));
        self.applied = index;
        if self.state.version() != before {
            self.in_force(before);
        }
        self.check_zones();
    }

    fn in_force(&mut self, base: u64) {
        let version = self.state.version();
        assert!(version > base, "the version goes back");
        let body = self.state.body().expect("a configuration").to_vec();
        let fate = self.fates.get(&(base, body.clone())).expect("only what was sent comes into force");
        assert!(!fate.refused, "a refused configuration on {base} came into force");
        assert!(!fate.dead, "a configuration on {base} came into force after a later order was answered");
        self.chain.insert(base, body.clone());
        self.versions.insert(version, body);
    }

    /// A process shows a state.
    pub fn shown(&self, state: &ControlState) {
        let known = self.versions.get(&state.version()).map(Vec::as_slice);
        assert_eq!(known, state.body(), "a state has a version that was never in force");
    }

    /// A call was answered, or its process has ended.
    pub fn ended(&mut self, now: u64, call: CallId, answer: Option<&Response>) {
        assert!(std::mem::replace(&mut self.calls[call].open, false), "a call is answered twice");
        let Operation { wish, newest, sent_at, .. } = self.calls[call].clone();
        if let Some(answer) = answer {
            *self.answers.entry(name(answer)).or_default() += 1;
            self.check_answer(&wish, newest, answer);
            if !matches!(answer, Response::Unavailable | Response::Redirect(_)) && wish != Wish::Read {
                self.bury(sent_at);
            }
        }
        if let Wish::Replace { base, body, .. } = &wish {
            self.note_end(now, &wish, (*base, body.clone()));
        }
    }

    fn check_answer(&mut self, wish: &Wish, newest: u64, answer: &Response) {
        match (wish, answer) {
            (_, Response::Unavailable | Response::Redirect(_)) => {}
            (Wish::Replace { base, version, body, valid }, Response::Acknowledged) => {
                assert!(*valid, "an invalid configuration on {base} is acknowledged");
                self.acknowledge(*base, *version, body);
            }
            (Wish::Replace { base, body, .. }, Response::Conflict { current }) => {
                assert!(*current >= newest, "refused for version {current}, older than {newest}");
                self.refuse(*base, body);
            }
            (Wish::Replace { base, body, valid, .. }, Response::Invalid(why)) => {
                assert!(!valid, "a valid configuration on {base} is refused: {why}");
                self.refuse(*base, body);
            }
            (Wish::Evacuate { zone, active }, Response::Acknowledged) => {
                assert_eq!(self.state.is_evacuated(zone), *active, "an evacuation of {zone} is not in force");
            }
            (Wish::Read, Response::NoConfiguration) => {
                assert_eq!(newest, 0, "a read misses version {newest}")
            }
            (Wish::Read, Response::Configuration(body)) => {
                let found = self.versions.iter().rev().find(|(_, known)| known[..] == body[..]);
                let (version, _) = found.expect("what is read was in force");
                assert!(*version >= newest, "a read of version {version} is older than {newest}");
            }
            (_, answer) => panic!("{answer:?} is no answer to what was asked"),
        }
    }

    fn acknowledge(&mut self, base: u64, version: u64, body: &[u8]) {
        let winner = self.acknowledged_on.entry(base).or_insert_with(|| body.to_vec());
        assert_eq!(winner, body, "two configurations on {base} are acknowledged");
        assert!(self.chain.get(&base).is_some_and(|taken| taken == body), "not in force, but acknowledged");
        let fate = self.fates.entry((base, body.to_vec())).or_default();
        assert!(!fate.refused, "a refused configuration on {base} is acknowledged");
        fate.acknowledged = true;
        self.newest_acknowledged = self.newest_acknowledged.max(version);
    }

    fn refuse(&mut self, base: u64, body: &[u8]) {
        let taken = self.chain.get(&base).is_some_and(|taken| taken == body);
        assert!(!taken, "a configuration on {base} that was taken is refused");
        self.fates.entry((base, body.to_vec())).or_default().refused = true;
    }

    /// A configuration that got no clear answer, and of which no call is under way, counts as given up.
    fn note_end(&mut self, now: u64, wish: &Wish, change: Change) {
        if self.calls.iter().any(|call| call.open && call.wish == *wish) {
            return;
        }
        let fate = self.fates.entry(change).or_default();
        if !fate.acknowledged && !fate.refused {
            fate.given_up = Some(now);
        }
    }

    /// An order that was sent at `sent_at` was answered: what was given up before that, and is not in force, must
    /// not come into force any more unless it is sent again.
    fn bury(&mut self, sent_at: u64) {
        for ((base, body), fate) in &mut self.fates {
            let in_force = self.chain.get(base).is_some_and(|taken| taken == body);
            fate.dead = !in_force && fate.given_up.is_some_and(|at| at < sent_at);
        }
    }

    fn check_zones(&self) {
        for (zone, active) in &self.promised {
            let is = self.state.is_evacuated(zone);
            assert_eq!(is, *active, "the evacuation of {zone} changed without an order");
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

fn name(answer: &Response) -> &'static str {
    match answer {
        Response::Acknowledged => "done",
        Response::Conflict { .. } => "conflict",
        Response::Invalid(_) => "invalid",
        Response::Redirect(_) => "redirect",
        Response::Unavailable => "unclear",
        Response::HistoryExpired { .. } => "forgotten",
        Response::Configuration(_) | Response::NoConfiguration | Response::Status(_) => "read",
    }
}
