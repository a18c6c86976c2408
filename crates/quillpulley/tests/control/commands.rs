//! Tests of operator commands, which are decided one at a time against the committed state.
//!
//! Each line of a timeline has four columns: the time in ms, the commands that are queued, the event from the
//! replicas, and the expected proposals and responses.
//!
//! - Commands: `BASE>VERSION` replaces the configuration; a letter after the version distinguishes
//!   configurations of the same version. `+ZONE` starts an evacuation and `-ZONE` ends it. `20@+ZONE` was
//!   received at 20 ms, but is queued only at the time of the line. The caller of a command that ends with `!` closes
//!   its connection before the command is decided. Callers that are asked to confirm a command do so at once, except
//!   where it ends with `?`. `+ZONE^3?` was sent after the third request for confirmation.
//! - Events: `commit N` and `fail N` are the outcomes of proposal N; after `commit N stale`, the lease is no
//!   longer held. `foreign COMMAND` applies a command that another primary proposed. `deposed` means that
//!   another node has become the primary. `epoch N` means that this node is the primary in that epoch.
//! - Results: `proposed N` is a new proposal, and `COMMAND RESPONSE` is a response. `confirm N` asks the caller to
//!   confirm its command, by the request with this number.

use crate::configuration;
use quillpulley::control::commands::{Command, CommandQueue, Proposal};
use quillpulley::control::confirmations::{ConfirmationId, Receipt};
use quillpulley::control::response::Response;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use std::collections::BTreeMap;
use std::time::Duration;

struct Harness {
    commands: CommandQueue<String>,
    state: ControlState,
    proposed: BTreeMap<u64, Proposal>,
    index: u64,
}

impl Default for Harness {
    fn default() -> Self {
        Harness {
            commands: CommandQueue::new(|caller| caller.ends_with('!')),
            state: ControlState::default(),
            proposed: BTreeMap::new(),
            index: 0,
        }
    }
}

fn parse_command(text: &str) -> Command {
    let text = text.trim_end_matches(['!', '?']);
    let text = text.split('^').next().unwrap_or(text);
    if let Some((base, version)) = text.split_once('>') {
        return Command::Replace {
            base: base.parse().expect("the base is not a number"),
            body: configuration(version),
        };
    }
    let (sign, zone) = text.split_at(1);
    Command::Evacuate { zone: zone.to_string(), active: sign == "+" }
}

/// Returns the request for confirmation after which a command was sent.
fn parse_sent_after(text: &str) -> ConfirmationId {
    let number = text.trim_end_matches('?').split_once('^').map(|(_, number)| number);
    ConfirmationId(number.map_or(0, |number| number.parse().expect("the confirmation is not a number")))
}

impl Harness {
    fn queue_commands(&mut self, now: Duration, sent: &str) {
        for text in sent.split_whitespace() {
            let (received_at, text) = match text.split_once('@') {
                Some((time, text)) => {
                    (Duration::from_millis(time.parse().expect("the time is not a number")), text)
                }
                None => (now, text),
            };
            let receipt = Receipt { received_at, sent_after: parse_sent_after(text) };
            self.commands.push(now, receipt, parse_command(text), text.to_string());
        }
    }

    fn handle_replica_event(&mut self, event: &str) {
        let words: Vec<&str> = event.split_whitespace().collect();
        match words[..] {
            [] => {}
            ["commit", number] => self.commit(number, true),
            ["commit", number, "stale"] => self.commit(number, false),
            ["fail", number] => {
                self.commands.failed(number.parse().expect("the proposal number is not a number"))
            }
            ["foreign", text] => {
                let mut other = CommandQueue::default();
                other.push(Duration::ZERO, Receipt::default(), parse_command(text), ());
                let proposal = other.next_proposal(&self.state).expect("no such proposal");
                self.apply(proposal.payload);
            }
            ["deposed"] => {
                self.commands.abandon(&Response::Redirect("10.0.0.4:80".parse().expect("no valid address")))
            }
            ["epoch", epoch] => self.commands.begin_term(epoch.parse().expect("the epoch is not a number")),
            _ => panic!("unknown event {event}"),
        }
    }

    fn commit(&mut self, number: &str, holds_lease: bool) {
        let proposal = self
            .proposed
            .remove(&number.parse().expect("the proposal number is not a number"))
            .expect("no such proposal");
        self.apply(proposal.payload);
        self.commands.committed(proposal.number, &self.state, holds_lease);
    }

    fn apply(&mut self, payload: Vec<u8>) {
        self.index += 1;
        self.state.apply(&Entry { epoch: 1, index: self.index, payload });
    }

    /// Returns the proposals and responses at `now`, in the form of the last column.
    fn results(&mut self, now: Duration) -> String {
        self.commands.expire(now);
        let mut results = Vec::new();
        let mut responses = Vec::new();
        loop {
            while let Some(proposal) = self.commands.next_proposal(&self.state) {
                results.push(format!("proposed {}", proposal.number));
                self.proposed.insert(proposal.number, proposal);
            }
            let new_responses = self.commands.take_responses();
            if new_responses.is_empty() {
                break;
            }
            for (sent, response) in new_responses {
                match response {
                    Response::ConfirmationRequired(id) if !sent.ends_with('?') => self.confirm(now, sent, id),
                    response => responses.push(format!("{sent} {}", format_response(&response))),
                }
            }
        }
        results.extend(responses);
        results.join(", ")
    }

    /// Sends a command again, whose caller was asked to confirm it.
    fn confirm(&mut self, now: Duration, sent: String, sent_after: ConfirmationId) {
        self.commands.push(now, Receipt { received_at: now, sent_after }, parse_command(&sent), sent);
    }
}

fn format_response(response: &Response) -> String {
    match response {
        Response::Acknowledged => "acknowledged".to_string(),
        Response::Conflict { current } => format!("conflict {current}"),
        Response::Invalid(_) => "invalid".to_string(),
        Response::Unavailable => "unavailable".to_string(),
        Response::ConfirmationRequired(ConfirmationId(number)) => format!("confirm {number}"),
        Response::Redirect(_) => "redirect".to_string(),
        other => panic!("not a response to a command: {other:?}"),
    }
}

fn run_timeline(timeline: &str) {
    let mut harness = Harness::default();
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let [time, sent, replicas, expected] = columns[..] else { panic!("not four columns: {line}") };
        let now = Duration::from_millis(time.parse().expect("the time is not a number"));
        harness.queue_commands(now, sent);
        harness.handle_replica_event(replicas);
        assert_eq!(harness.results(now), expected, "{line}");
    }
}

#[test]
fn a_command_is_acknowledged_when_it_is_committed() {
    run_timeline(
        "
           0 | 0>5 |          | proposed 1
          10 |     | commit 1 | 0>5 acknowledged
          20 | +a  |          | proposed 2
          30 |     | commit 2 | +a acknowledged
          40 | -a  |          | proposed 3
          50 |     | commit 3 | -a acknowledged
        ",
    );
}

/// Guards against orders that are executed although their callers have left, and undo later ones.
#[test]
fn a_command_whose_caller_has_gone_is_not_executed() {
    run_timeline(
        "
           0 | +a              |          | proposed 1
          10 |                 | commit 1 | +a acknowledged
          20 | -a! 0>5! +b     |          | proposed 2, -a! unavailable, 0>5! unavailable
          30 |                 | commit 2 | +b acknowledged
          40 | +a              |          | +a acknowledged
          50 | 0>6             |          | proposed 3
          60 |                 | commit 3 | 0>6 acknowledged
        ",
    );
}

#[test]
fn a_repeated_command_is_acknowledged_without_a_log_entry() {
    run_timeline(
        "
           0 | 0>5     |          | proposed 1
          10 |         | commit 1 | 0>5 acknowledged
          20 | 0>5     |          | 0>5 acknowledged
          30 | 5>7 0>5 |          | proposed 2
          40 |         | commit 2 | 5>7 acknowledged, 0>5 acknowledged
          50 | -a      |          | -a acknowledged
        ",
    );
}

#[test]
fn one_of_two_configurations_with_the_same_base_is_accepted() {
    run_timeline(
        "
           0 | 0>5a 0>5b 0>5a |          | proposed 1
          10 |                | commit 1 | 0>5a acknowledged, 0>5b conflict 5, 0>5a acknowledged
        ",
    );
}

#[test]
fn invalid_and_outdated_configurations_are_rejected() {
    run_timeline(
        "
           0 | 0>5     |          | proposed 1
          10 |         | commit 1 | 0>5 acknowledged
          20 | 5>5     |          | 5>5 invalid
          30 | 5>4 3>9 |          | 5>4 invalid, 3>9 conflict 5
        ",
    );
}

#[test]
fn the_next_command_is_decided_after_the_previous_one_failed() {
    run_timeline(
        "
           0 | 0>5 0>6 |          | proposed 1
          10 |         | fail 1   | proposed 2, 0>5 unavailable
          20 |         | commit 2 | 0>6 acknowledged
        ",
    );
}

#[test]
fn a_command_that_an_earlier_entry_overrides_is_not_acknowledged() {
    // An entry of another primary is applied after the command was decided and before it is committed.
    run_timeline(
        "
           0 | 0>5 |             | proposed 1
          10 |     | foreign 0>6 |
          20 |     | commit 1    | 0>5 unavailable
          30 | 0>5 |             | 0>5 conflict 6
        ",
    );
}

#[test]
fn nothing_is_acknowledged_without_the_lease() {
    run_timeline(
        "
           0 | 0>5 |                | proposed 1
          10 |     | commit 1 stale | 0>5 unavailable
          20 | 0>5 |                | 0>5 acknowledged
        ",
    );
}

#[test]
fn a_deposed_primary_reports_the_command_in_flight_as_unknown() {
    run_timeline(
        "
           0 | 0>5 +a |         | proposed 1
          10 |        | deposed | 0>5 unavailable, +a redirect
        ",
    );
}

#[test]
fn callers_time_out_after_three_seconds_and_the_command_stays_in_flight() {
    run_timeline(
        "
           0 | 0>5 |          | proposed 1
         100 | 5>6 |          |
        2999 |     |          |
        3000 |     |          | 0>5 unavailable
        3100 |     |          | 5>6 unavailable
        3200 | 0>5 |          |
        3300 |     | commit 1 | 0>5 acknowledged
        ",
    );
}

#[test]
fn a_command_that_exceeds_the_queue_limit_is_rejected() {
    let mut commands = CommandQueue::default();
    let large = Command::Replace { base: 0, body: vec![0; 4_000_000] };
    for number in 0..9 {
        commands.push(Duration::ZERO, Receipt::default(), large.clone(), number);
    }
    assert_eq!(commands.take_responses(), [(8, Response::Unavailable)]);
}

/// Guards against late copies of orders that undo later ones.
#[test]
fn a_delayed_evacuation_does_not_undo_a_later_command() {
    // A zone's evacuation is started and ended. A late copy of the start command then arrives, and a late copy that
    // was sent when the first start command had to be confirmed.
    run_timeline(
        "  0 | +a       |          | proposed 1
          10 |          | commit 1 | +a acknowledged
          20 | -a       |          | proposed 2
          30 |          | commit 2 | -a acknowledged
          40 | 15@+a?   |          | +a? confirm 3
          45 | 15@+a^1? |          | +a^1? confirm 3
          50 | -a       |          | -a acknowledged
          55 | 45@+a^3? |          | +a^3? confirm 4
          60 | 55@+b    |          | proposed 3
          70 |          | commit 3 | +b acknowledged
          80 | +a       |          | proposed 4
          90 |          | commit 4 | +a acknowledged",
    );
    // A request for confirmation ends with the next command for its zone even if that changes nothing, like `-a`, or
    // if its outcome is unknown, like `+b`.
    run_timeline(
        "  0 | +a?   |                | +a? confirm 1
          10 | -a    |                | -a acknowledged
          20 | +a^1? |                | +a^1? confirm 2
          30 | +b    |                | proposed 1
          40 |       | commit 1 stale | +b unavailable
          50 | -b^3? |                | -b^3? confirm 4
          60 | -b^4? |                | proposed 2",
    );
}

/// Guards against callers that confirm a command in vain, because another copy of it arrives meanwhile.
#[test]
fn copies_of_a_command_share_their_request_for_confirmation() {
    run_timeline(
        "  0 | +a?   |          | +a? confirm 1
          10 | +a?   |          | +a? confirm 1
          20 | +b?   |          | +b? confirm 2
          30 | +a^1? |          | proposed 1
          40 |       | commit 1 | +a^1? acknowledged
          50 | +a?   |          | +a? acknowledged",
    );
}

/// Guards against commands that are executed long after their callers have gone.
#[test]
fn a_command_can_be_confirmed_for_three_seconds() {
    run_timeline(
        "  0 | +a?        |          | +a? confirm 1
        2999 | 2999@+a^0? |          | +a^0? confirm 1
        5990 | +a^1?      |          | proposed 1
        6000 |            | commit 1 | +a^1? acknowledged
        6100 | -a?        |          | -a? confirm 2
        9100 | -a^2?      |          | -a^2? confirm 3",
    );
}

/// Guards against callers that confirm a command in vain, because a machine joins meanwhile, which begins an epoch.
#[test]
fn a_confirmation_is_valid_if_the_same_primary_goes_on_in_the_next_epoch() {
    run_timeline(
        "  0 |        | epoch 2  |
          10 | +a?    |          | +a? confirm 1
          20 |        | epoch 3  |
          30 | +a^1?  |          | proposed 1
          40 |        | commit 1 | +a^1? acknowledged",
    );
}

/// Guards against late copies that count as confirmed although another node may have been the primary in between.
#[test]
fn a_confirmation_is_not_valid_if_an_epoch_lies_in_between() {
    run_timeline(
        "  0 |        | epoch 2 |
          10 | +a?    |         | +a? confirm 1
          20 |        | epoch 4 |
          30 | +a^1?  |         | +a^1? confirm 2",
    );
}

/// Guards against late copies that a new primary, or one that was elected again, takes for confirmed.
#[test]
fn a_confirmation_is_not_valid_after_a_change_of_primary() {
    run_timeline(
        "  0 | +a?   |         | +a? confirm 1
          10 |       | deposed |
          20 | +a^1? |         | +a^1? confirm 2
          30 | +a^2? |         | proposed 1",
    );
}

#[test]
fn a_delayed_evacuation_that_changes_nothing_is_acknowledged() {
    run_timeline(
        "  0 | +a   |          | proposed 1
          10 |      | commit 1 | +a acknowledged
          20 | +a   |          | +a acknowledged
          30 | 5@+a |          | +a acknowledged",
    );
}

#[test]
fn queued_commands_take_effect_in_order_after_the_one_in_flight() {
    run_timeline(
        "  0 | 0>5 |          | proposed 1
          10 | 5>6 |          |
          20 | 6>7 |          |
          30 |     | commit 1 | proposed 2, 0>5 acknowledged
          40 |     | commit 2 | proposed 3, 5>6 acknowledged
          50 |     | commit 3 | 6>7 acknowledged",
    );
    // Evacuation commands of one zone, none of which was answered when the next one was sent, take effect in the
    // order in which they are confirmed; a command that changes nothing needs no confirmation.
    run_timeline(
        "  0 | 0>5   |          | proposed 1
          10 | +a?   |          |
          20 | -a    |          |
          30 |       | commit 1 | 0>5 acknowledged, +a? confirm 1, -a acknowledged
          40 | +a^1? |          | +a^1? confirm 2
          50 | +a^2? |          | proposed 2
          60 | -a    |          |
          70 |       | commit 2 | proposed 3, +a^2? acknowledged
          80 |       | commit 3 | -a acknowledged",
    );
}

#[test]
fn the_timeout_runs_from_queueing_for_configurations_and_from_receipt_for_evacuations() {
    run_timeline(
        " 9000 | 1000@0>5 |          | proposed 1
          9010 |          | commit 1 | 0>5 acknowledged
          9020 | 6020@+a  |          | +a unavailable
          9030 | 6031@+a  |          | proposed 2",
    );
}
