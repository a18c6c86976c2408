//! Orders of the operator: one at a time, decided against the committed state.
//!
//! Timelines have a line for each moment, with one column for what the operator sends, one for what the
//! replicas say, and one for what is proposed and answered. Configurations are written `base>version`, with a
//! letter where two of the same version differ, `+zone` and `-zone` are evacuations. `commit N` and `fail N`
//! are the fates of order N; with `stale`, the lease has gone by then. Answers are `SENT: answer`, proposals
//! `N: SENT`.

use crate::configuration;
use quillpulley::control::commands::{Command, CommandQueue, Proposal};
use quillpulley::control::response::Response;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct Bench {
    orders: CommandQueue<String>,
    state: ControlState,
    proposed: BTreeMap<u64, Proposal>,
    index: u64,
}

fn order(text: &str) -> Command {
    if let Some((base, version)) = text.split_once('>') {
        return Command::Replace { base: base.parse().expect("a base"), body: configuration(version) };
    }
    let (sign, zone) = text.split_at(1);
    Command::Evacuate { zone: zone.to_string(), active: sign == "+" }
}

impl Bench {
    fn send(&mut self, now: Duration, sent: &str) {
        for text in sent.split_whitespace() {
            self.orders.push(now, order(text), text.to_string());
        }
    }

    fn replicas(&mut self, event: &str) {
        let words: Vec<&str> = event.split_whitespace().collect();
        match words[..] {
            [] => {}
            ["commit", name] => self.commit(name, true),
            ["commit", name, "stale"] => self.commit(name, false),
            ["fail", name] => self.orders.failed(name.parse().expect("a name")),
            ["foreign", text] => {
                let mut other = CommandQueue::default();
                other.push(Duration::ZERO, order(text), ());
                let proposal = other.next_proposal(&self.state).expect("a proposal");
                self.apply(proposal.payload);
            }
            ["deposed"] => {
                self.orders.abandon(&Response::Redirect("10.0.0.4:80".parse().expect("an address")))
            }
            _ => panic!("unknown event {event}"),
        }
    }

    fn commit(&mut self, name: &str, holds_lease: bool) {
        let proposal = self.proposed.remove(&name.parse().expect("a name")).expect("a proposal");
        self.apply(proposal.payload);
        self.orders.committed(proposal.number, &self.state, holds_lease);
    }

    fn apply(&mut self, payload: Vec<u8>) {
        self.index += 1;
        self.state.apply(&Entry { epoch: 1, index: self.index, payload });
    }

    /// What follows, as the last column has it.
    fn results(&mut self, now: Duration) -> String {
        self.orders.expire(now);
        let mut results = Vec::new();
        while let Some(proposal) = self.orders.next_proposal(&self.state) {
            results.push(format!("proposed {}", proposal.number));
            self.proposed.insert(proposal.number, proposal);
        }
        results.extend(
            self.orders
                .take_responses()
                .into_iter()
                .map(|(sent, answer)| format!("{sent} {}", show(&answer))),
        );
        results.join(", ")
    }
}

fn show(answer: &Response) -> String {
    match answer {
        Response::Acknowledged => "done".to_string(),
        Response::Conflict { current } => format!("conflict {current}"),
        Response::Invalid(_) => "invalid".to_string(),
        Response::Unavailable => "unclear".to_string(),
        Response::Redirect(_) => "elsewhere".to_string(),
        other => panic!("not an answer to an order: {other:?}"),
    }
}

fn play(timeline: &str) {
    let mut bench = Bench::default();
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let [time, sent, replicas, expected] = columns[..] else { panic!("four columns: {line}") };
        let now = Duration::from_millis(time.parse().expect("a time"));
        bench.send(now, sent);
        bench.replicas(replicas);
        assert_eq!(bench.results(now), expected, "{line}");
    }
}

#[test]
fn an_order_is_answered_when_it_is_committed() {
    play(
        "
           0 | 0>5 |          | proposed 1
          10 |     | commit 1 | 0>5 done
          20 | +a  |          | proposed 2
          30 |     | commit 2 | +a done
          40 | -a  |          | proposed 3
          50 |     | commit 3 | -a done
        ",
    );
}

#[test]
fn the_same_order_again_is_acknowledged_without_an_entry() {
    play(
        "
           0 | 0>5     |          | proposed 1
          10 |         | commit 1 | 0>5 done
          20 | 0>5     |          | 0>5 done
          30 | 5>7 0>5 |          | proposed 2
          40 |         | commit 2 | 5>7 done, 0>5 done
          50 | -a      |          | -a done
        ",
    );
}

#[test]
fn of_two_configurations_on_one_base_one_is_taken() {
    play(
        "
           0 | 0>5a 0>5b 0>5a |          | proposed 1
          10 |                | commit 1 | 0>5a done, 0>5b conflict 5, 0>5a done
        ",
    );
}

#[test]
fn what_is_invalid_or_out_of_date_is_rejected() {
    play(
        "
           0 | 0>5     |          | proposed 1
          10 |         | commit 1 | 0>5 done
          20 | 5>5     |          | 5>5 invalid
          30 | 5>4 3>9 |          | 5>4 invalid, 3>9 conflict 5
        ",
    );
}

#[test]
fn the_next_order_is_decided_when_the_one_before_has_failed() {
    play(
        "
           0 | 0>5 0>6 |          | proposed 1
          10 |         | fail 1   | proposed 2, 0>5 unclear
          20 |         | commit 2 | 0>6 done
        ",
    );
}

#[test]
fn an_order_that_an_earlier_entry_made_void_is_not_acknowledged() {
    // Another primary's entry is applied between the decision and the commit.
    play(
        "
           0 | 0>5 |             | proposed 1
          10 |     | foreign 0>6 |
          20 |     | commit 1    | 0>5 unclear
          30 | 0>5 |             | 0>5 conflict 6
        ",
    );
}

#[test]
fn nothing_is_acknowledged_without_the_lease() {
    play(
        "
           0 | 0>5 |                | proposed 1
          10 |     | commit 1 stale | 0>5 unclear
          20 | 0>5 |                | 0>5 done
        ",
    );
}

#[test]
fn a_deposed_primary_gives_no_clear_answer_to_what_is_in_flight() {
    play(
        "
           0 | 0>5 +a |         | proposed 1
          10 |        | deposed | 0>5 unclear, +a elsewhere
        ",
    );
}

#[test]
fn callers_wait_three_seconds_and_the_order_in_flight_keeps_its_place() {
    play(
        "
           0 | 0>5 |          | proposed 1
         100 | 5>6 |          |
        2999 |     |          |
        3000 |     |          | 0>5 unclear
        3100 |     |          | 5>6 unclear
        3200 | 0>5 |          |
        3300 |     | commit 1 | 0>5 done
        ",
    );
}

#[test]
fn more_than_can_be_kept_is_sent_away() {
    let mut orders = CommandQueue::default();
    let large = Command::Replace { base: 0, body: vec![0; 4_000_000] };
    for number in 0..9 {
        orders.push(Duration::ZERO, large.clone(), number);
    }
    assert_eq!(orders.take_responses(), [(8, Response::Unavailable)]);
}
