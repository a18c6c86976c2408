//! Tests of the decisions on commands, and of the state after their application.

#[path = "../../serving-config/tests/common/mod.rs"]
mod common;

use common::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_control_state::HISTORY_LENGTH;
use quillpulley_control_state::{ControlState, EvacuationDecision, ReplaceDecision};
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use quillpulley_serving_config::ConfigurationError;
use std::sync::Arc;

/// A control state and the log whose entries were applied to it.
#[derive(Default)]
struct Replica {
    state: ControlState,
    log: Vec<Entry>,
}

impl Replica {
    fn append(&mut self, payload: Vec<u8>) {
        let entry = Entry { epoch: 1, index: self.log.len() as u64 + 1, payload };
        self.state.apply(&entry);
        self.log.push(entry);
    }

    /// Decides on a configuration, and appends and applies it if it is accepted.
    fn replace(&mut self, base: u64, body: &[u8]) -> ReplaceDecision {
        let decision = self.state.decide_replace(base, body);
        if let ReplaceDecision::Propose(payload) = &decision {
            self.append(payload.clone());
        }
        decision
    }

    fn replace_accepted(&mut self, base: u64, body: &[u8]) {
        let decision = self.replace(base, body);
        assert!(matches!(decision, ReplaceDecision::Propose(_)), "{decision:?}");
    }

    fn evacuate(&mut self, zone: &str, active: bool) -> EvacuationDecision {
        let decision = self.state.decide_evacuation(zone, active);
        if let EvacuationDecision::Propose(payload) = &decision {
            self.append(payload.clone());
        }
        decision
    }
}

fn payload(decision: ReplaceDecision) -> Vec<u8> {
    match decision {
        ReplaceDecision::Propose(payload) => payload,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_configuration_is_returned_as_it_was_sent() {
    let mut replica = Replica::default();
    assert_eq!((replica.state.version(), replica.state.body()), (0, None));
    let body = valid(3, 2, 1000);
    replica.replace_accepted(0, &body);
    assert_eq!((replica.state.version(), replica.state.body()), (3, Some(body.as_slice())));
    assert_eq!(replica.state.config_index(), 1);
    let configuration =
        replica.state.configuration().expect("a valid configuration").expect("an active configuration");
    assert_eq!(configuration, parse(&body));
}

// Configurations are written as their version. A prime marks another configuration with the same version. `{`
// stands for a text that is not valid JSON.
//
//    command | base  | active before   | decision
//    3       | 0     | -               | propose
//    3       | 0     | 3               | already applied
//    3'      | 0     | 3               | conflict
//    5       | 3     | 3               | propose
//    3       | 0     | 5               | already applied
//    5'      | 3     | 5               | conflict
//    5       | 5     | 5               | invalid: the version is not above 5
//    4       | 5     | 5               | invalid: the version is not above 5
//    {       | 5     | 5               | invalid: unreadable
//    {       | 4     | 5               | conflict
#[test]
fn each_configuration_is_accepted_once_and_recognized_afterwards() {
    let (three, other_three) = (valid(3, 1, 1000), valid(3, 1, 2000));
    let (five, other_five) = (valid(5, 1, 1000), valid(5, 1, 2000));
    let mut replica = Replica::default();
    replica.replace_accepted(0, &three);
    assert_eq!(replica.replace(0, &three), ReplaceDecision::AlreadyApplied);
    assert_eq!(replica.replace(0, &other_three), ReplaceDecision::Conflict { current: 3 });
    replica.replace_accepted(3, &five);
    assert_eq!(replica.replace(0, &three), ReplaceDecision::AlreadyApplied);
    assert_eq!(replica.replace(3, &other_five), ReplaceDecision::Conflict { current: 5 });
    let not_above = |version| ConfigurationError::VersionNotAbove { version, current: 5 };
    assert_eq!(replica.replace(5, &five), ReplaceDecision::Invalid(not_above(5)));
    assert_eq!(replica.replace(5, &valid(4, 1, 1000)), ReplaceDecision::Invalid(not_above(4)));
    assert!(matches!(replica.replace(5, b"{"), ReplaceDecision::Invalid(ConfigurationError::Unreadable(_))));
    assert_eq!(replica.replace(4, b"{"), ReplaceDecision::Conflict { current: 5 });
    assert_eq!(replica.state.body(), Some(five.as_slice()));
    assert_eq!(replica.log.len(), 2);
}

// Two commands with base version 3 are decided before either of them is applied.
//
//    one   decide(5 on 3) ------------ append ------------------- decide again: already applied
//    other ---------- decide(6 on 3) ---------- append (ignored)  decide again: conflict
#[test]
fn of_two_changes_on_one_base_the_first_in_the_log_wins() {
    let mut replica = Replica::default();
    replica.replace_accepted(0, &valid(3, 1, 1000));
    let (one, other) = (valid(5, 1, 1000), valid(6, 1, 2000));
    let first = payload(replica.state.decide_replace(3, &one));
    let second = payload(replica.state.decide_replace(3, &other));
    let again = payload(replica.state.decide_replace(3, &one));
    replica.append(first);
    replica.append(second);
    replica.append(again);
    assert_eq!(replica.state.body(), Some(one.as_slice()));
    assert_eq!(replica.replace(3, &one), ReplaceDecision::AlreadyApplied);
    assert_eq!(replica.replace(3, &other), ReplaceDecision::Conflict { current: 5 });
    assert_eq!(replica.state.config_index(), 2);
}

#[test]
fn a_zone_is_evacuated_and_restored() {
    let mut replica = Replica::default();
    assert_eq!(replica.evacuate("a", false), EvacuationDecision::AlreadyInEffect);
    assert!(matches!(replica.evacuate("a", true), EvacuationDecision::Propose(_)));
    assert_eq!(replica.evacuate("a", true), EvacuationDecision::AlreadyInEffect);
    assert!(matches!(replica.evacuate("b", true), EvacuationDecision::Propose(_)));
    assert!(matches!(replica.evacuate("a", false), EvacuationDecision::Propose(_)));
    assert!(!replica.state.is_evacuated("a") && replica.state.is_evacuated("b"));
    assert_eq!(replica.state.evacuated_zones().collect::<Vec<_>>(), ["b"]);
}

// The history has dropped the first configuration.
//
//    command on base | changes since | decision
//    0, applied      | 32,768        | history expired: neither acknowledged nor rejected
//    0, never sent   | 32,768        | history expired: it cannot be distinguished from an applied one
//    1, applied      | 32,767        | already applied
//    1, not applied  | 32,767        | conflict
#[test]
fn a_configuration_older_than_the_history_is_neither_acknowledged_nor_rejected() {
    let mut replica = Replica::default();
    for version in 1..=HISTORY_LENGTH as u64 + 1 {
        replica.replace_accepted(version - 1, &without_routes(version, "a"));
    }
    let current = HISTORY_LENGTH as u64 + 1;
    for state in [&replica.state, &restored(&replica.state)] {
        let expired = ReplaceDecision::HistoryExpired { oldest: 1 };
        assert_eq!(state.decide_replace(0, &without_routes(1, "a")), expired);
        assert_eq!(state.decide_replace(0, &without_routes(1, "b")), expired);
        assert_eq!(state.decide_replace(1, &without_routes(2, "a")), ReplaceDecision::AlreadyApplied);
        assert_eq!(state.decide_replace(1, &without_routes(2, "b")), ReplaceDecision::Conflict { current });
    }
    assert_eq!(restored(&replica.state), replica.state);
    let bytes_each = replica.state.snapshot().len() / HISTORY_LENGTH;
    assert!(bytes_each <= 48, "each change takes {bytes_each} bytes of a snapshot");
}

/// Returns a configuration without routes. `mark` distinguishes it from others of the same version.
fn without_routes(version: u64, mark: &str) -> Vec<u8> {
    format!("{{\"Version\":{version},\"Routes\":[],\"Services\":[],\"Mark\":\"{mark}\"}}").into_bytes()
}

// A prime marks another configuration with the same version.
//
//    command       | base | active before | decision
//    6             | 3    | 5             | conflict
//    6'            | 5    | 5             | propose: no applied configuration has version 6
//    6 (repeated)  | 3    | 6'            | conflict
//    5 (repeated)  | 3    | 6'            | already applied
#[test]
fn the_version_of_a_rejected_configuration_may_be_used_again() {
    let mut replica = Replica::default();
    replica.replace_accepted(0, &valid(3, 1, 1000));
    replica.replace_accepted(3, &valid(5, 1, 1000));
    let rejected = valid(6, 1, 2000);
    assert_eq!(replica.replace(3, &rejected), ReplaceDecision::Conflict { current: 5 });
    replica.replace_accepted(5, &valid(6, 1, 3000));
    assert_eq!(replica.replace(3, &rejected), ReplaceDecision::Conflict { current: 6 });
    assert_eq!(replica.replace(3, &valid(5, 1, 1000)), ReplaceDecision::AlreadyApplied);
    // The same bytes on another base version are another command, and version 6 is in use.
    assert!(matches!(replica.replace(6, &rejected), ReplaceDecision::Invalid(_)));
}

/// Returns whether the application of an entry with this payload changes the state.
fn changes_state(state: &ControlState, payload: Vec<u8>) -> bool {
    let mut after = state.clone();
    after.apply(&Entry { epoch: 9, index: 1_000_000, payload });
    after != *state
}

//    operator one | 5 on 3: proposed and applied |
//    operator two | 5 on 3: proposed             | not applied; 5 on 3 again: already applied
#[test]
fn the_same_bytes_of_two_operators_are_one_command() {
    let mut replica = Replica::default();
    replica.replace_accepted(0, &valid(3, 1, 1000));
    let body = valid(5, 1, 1000);
    let first = payload(replica.state.decide_replace(3, &body));
    let second = payload(replica.state.decide_replace(3, &body));
    replica.append(first);
    assert_eq!(replica.replace(3, &body), ReplaceDecision::AlreadyApplied);
    assert!(!changes_state(&replica.state, second), "the second entry of the same command changes nothing");
}

// A repeated command to evacuate a zone that was restored in between cannot be distinguished from a new one.
//
//    evacuate a: applied | restore a: applied | evacuate a, delayed or new: applied again
#[test]
fn a_delayed_evacuation_counts_as_a_new_one() {
    let mut replica = Replica::default();
    for active in [true, false, true, false] {
        assert!(matches!(replica.evacuate("a", active), EvacuationDecision::Propose(_)));
        assert_eq!(replica.evacuate("a", active), EvacuationDecision::AlreadyInEffect);
        assert_eq!(
            restored(&replica.state).decide_evacuation("a", active),
            EvacuationDecision::AlreadyInEffect
        );
        assert_eq!(replica.state.is_evacuated("a"), active);
    }
}

/// Returns configurations that must be rejected while version 5 is active and after a later one is: a
/// description, the base version, and the bytes.
fn rejected_configurations() -> Vec<(&'static str, u64, Vec<u8>)> {
    let with_fields = |fields: &str| body(7, &[&route("/a/", fields)]);
    let complete = valid(7, 2, 1000);
    let repeated_route = route("/a/", ",\"Service\":\"s\"");
    vec![
        ("truncated to a half", 5, complete[..complete.len() / 2].to_vec()),
        ("truncated by one byte", 5, complete[..complete.len() - 1].to_vec()),
        ("unknown service", 5, with_fields(",\"Service\":\"u\"")),
        (
            "unknown service in a split",
            5,
            with_fields(",\"TrafficSplit\":[{\"Service\":\"s\"},{\"Service\":\"u\"}]"),
        ),
        ("same host and prefix", 5, body(7, &[&repeated_route, &repeated_route])),
        ("a weight of zero", 5, with_fields(",\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":0}]")),
        ("a timeout of zero", 5, with_fields(",\"Service\":\"s\",\"TimeoutMs\":0")),
        ("older version", 5, valid(4, 1, 2000)),
        ("same version", 5, valid(5, 1, 2000)),
        ("base version that is not active any more", 3, valid(7, 1, 2000)),
        ("base version that was never active", 4, valid(7, 1, 2000)),
        ("base version that is not active yet", 6, valid(7, 1, 2000)),
    ]
}

/// Each invalid configuration is rejected before a valid one is proposed, while the valid one is proposed but
/// not applied, after it is applied, and by a replica that was restored from a snapshot. No invalid
/// configuration is appended to the log.
#[test]
fn invalid_configurations_are_always_rejected() {
    for (kind, base, invalid_body) in rejected_configurations() {
        let mut replica = Replica::default();
        replica.replace_accepted(0, &valid(3, 1, 1000));
        replica.replace_accepted(3, &valid(5, 1, 1000));
        let is_rejected = |state: &ControlState| {
            let decision = state.decide_replace(base, &invalid_body);
            matches!(decision, ReplaceDecision::Invalid(_) | ReplaceDecision::Conflict { .. })
        };
        assert!(is_rejected(&replica.state), "{kind}");
        let concurrent = payload(replica.state.decide_replace(5, &valid(9, 1, 1000)));
        assert!(is_rejected(&replica.state), "{kind}, while a valid one is proposed");
        replica.append(concurrent);
        assert!(is_rejected(&replica.state), "{kind}, after a valid one");
        assert!(is_rejected(&restored(&replica.state)), "{kind}, after a restore");
        assert_eq!((replica.state.version(), replica.log.len()), (9, 3), "{kind}");
    }
}

#[test]
fn a_malformed_snapshot_leaves_the_state_unchanged() {
    let mut replica = Replica::default();
    replica.replace_accepted(0, &valid(3, 1, 1000));
    let before = replica.state.clone();
    let error = replica.state.restore(&[1, 2, 3]).expect_err("not a snapshot").to_string();
    assert!(error.contains("run the same version"), "{error}");
    assert_eq!(replica.state, before);
}

fn restored(state: &ControlState) -> ControlState {
    let mut other = ControlState::default();
    other.restore(&state.snapshot()).expect("its own snapshot");
    other
}

/// A command of an operator, or a malformed log entry. Some commands have a base version that is not active,
/// others an invalid configuration.
#[derive(Clone, Debug)]
enum Input {
    Replace { base: u8, version: u8, variant: u8 },
    Evacuate { zone: u8, active: bool },
    MalformedEntry(Vec<u8>),
}

impl Arbitrary for Input {
    fn arbitrary(gen: &mut Gen) -> Self {
        match u8::arbitrary(gen) % 8 {
            0 => Input::MalformedEntry(Vec::arbitrary(gen)),
            1 | 2 => Input::Evacuate { zone: u8::arbitrary(gen) % 3, active: bool::arbitrary(gen) },
            _ => Input::Replace {
                base: u8::arbitrary(gen) % 6,
                version: u8::arbitrary(gen) % 7,
                variant: u8::arbitrary(gen) % 3,
            },
        }
    }
}

fn perform(replica: &mut Replica, input: &Input) {
    match input {
        Input::Replace { base, version, variant } => {
            let body = valid(u64::from(*version), 1, u64::from(*variant) * 1000);
            replica.replace(u64::from(*base), &body);
        }
        Input::Evacuate { zone, active } => {
            replica.evacuate(&zone.to_string(), *active);
        }
        Input::MalformedEntry(payload) => replica.append(payload.clone()),
    }
}

quickcheck! {
    fn the_same_log_gives_the_same_state(inputs: Vec<Input>) -> bool {
        let mut replica = Replica::default();
        inputs.iter().for_each(|input| perform(&mut replica, input));
        let mut other = ControlState::default();
        replica.log.iter().for_each(|entry| other.apply(entry));
        other == replica.state && other.snapshot() == replica.state.snapshot()
    }

    fn a_snapshot_replaces_the_log_before_it(inputs: Vec<Input>, split: usize) -> bool {
        let mut replica = Replica::default();
        inputs.iter().for_each(|input| perform(&mut replica, input));
        let split = split % (replica.log.len() + 1);
        let mut other = ControlState::default();
        replica.log[..split].iter().for_each(|entry| other.apply(entry));
        let mut other = restored(&other);
        replica.log[split..].iter().for_each(|entry| other.apply(entry));
        other == replica.state
    }

    fn versions_increase_and_accepted_configurations_are_recognized(inputs: Vec<Input>) -> bool {
        let mut replica = Replica::default();
        let mut accepted: Vec<(u64, Vec<u8>)> = Vec::new();
        for input in &inputs {
            let before = replica.state.version();
            perform(&mut replica, input);
            let after = replica.state.version();
            if after < before {
                return false;
            }
            if after > before {
                accepted.push((before, replica.state.body().expect("an active configuration").to_vec()));
            }
        }
        accepted
            .iter()
            .all(|(base, body)| replica.state.decide_replace(*base, body) == ReplaceDecision::AlreadyApplied)
    }

    fn any_snapshot_is_read_or_rejected(bytes: Vec<u8>) -> bool {
        let mut state = ControlState::default();
        let _ = state.restore(&bytes);
        let _ = state.configuration();
        true
    }
}

#[test]
fn readers_of_the_configuration_share_it_until_another_follows() {
    let mut replica = Replica::default();
    assert_eq!(replica.state.shared_body(), None);
    let first = valid(1, 0, 0);
    replica.replace_accepted(0, &first);
    let shared = [replica.state.shared_body(), replica.state.shared_body()].map(|body| body.expect("a body"));
    assert!(Arc::ptr_eq(&shared[0], &shared[1]));
    replica.replace_accepted(1, &valid(2, 0, 0));
    assert_eq!(&*shared[0], first.as_slice());
    let next = replica.state.shared_body().expect("a body");
    assert_eq!(Some(&*next), replica.state.body());
    assert!(!Arc::ptr_eq(&shared[0], &next));
}
