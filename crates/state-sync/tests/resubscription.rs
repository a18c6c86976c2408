//! Tests of a child that subscribes again on a connection that its parent considers unchanged.

use quillpulley_protocol::Body;
use quillpulley_state_sync::{Action, Event, LocalReport, Options, SyncNode};
use std::time::Duration;

/// A root and its child, which exchange frames without delay.
struct Pair {
    now: Duration,
    root: SyncNode<u8>,
    child: SyncNode<u8>,
}

const CHILD: u8 = 1;
const STEP: Duration = Duration::from_millis(100);

impl Pair {
    fn new() -> Pair {
        let root = SyncNode::new(Options::control_node("root"));
        let mut pair =
            Pair { now: Duration::ZERO, root, child: SyncNode::new(Options::control_node("child")) };
        pair.at_root(Event::BecomeRoot { epoch: 1 });
        pair.at_root(Event::ChildUp(CHILD));
        pair
    }

    fn at_root(&mut self, event: Event<u8>) {
        let mut actions = Vec::new();
        self.root.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SendChild(_, body) | Action::SendChildren(_, body) => self.deliver_to_child(body),
                _ => {}
            }
        }
    }

    fn deliver_to_child(&mut self, body: Body) {
        self.at_child(Event::ParentFrame(body));
    }

    fn at_child(&mut self, event: Event<u8>) {
        let mut actions = Vec::new();
        self.child.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::SendParent(body) = action {
                self.at_root(Event::ChildFrame(CHILD, body));
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.at_root(Event::Heartbeat);
            self.at_root(Event::Tick);
            self.at_child(Event::Tick);
        }
    }
}

#[test]
fn a_child_that_subscribes_again_is_sent_full_totals_again() {
    let mut pair = Pair::new();
    pair.at_child(Event::LocalReport(LocalReport { proxies: 2, ..LocalReport::default() }));
    pair.at_child(Event::ParentUp);
    pair.advance(Duration::from_secs(2));
    assert!(pair.child.totals().complete, "the totals come from the root");
    assert_eq!(pair.child.totals().counters.proxies, 2);
    // The root was unresponsive for a while, and the child subscribes again on the same connection.
    pair.now += Duration::from_secs(2);
    pair.at_child(Event::ParentUp);
    pair.advance(Duration::from_secs(4));
    assert!(pair.child.totals().complete, "the totals still come from the root");
    assert_eq!(pair.child.totals().counters.proxies, 2);
}

#[test]
fn a_restarted_child_is_sent_full_totals() {
    let mut pair = Pair::new();
    pair.at_child(Event::LocalReport(LocalReport { proxies: 2, ..LocalReport::default() }));
    pair.at_child(Event::ParentUp);
    pair.advance(Duration::from_secs(2));
    pair.child = SyncNode::new(Options::control_node("child"));
    pair.at_child(Event::LocalReport(LocalReport { proxies: 3, ..LocalReport::default() }));
    pair.at_child(Event::ParentUp);
    pair.advance(Duration::from_secs(4));
    assert!(pair.child.totals().complete);
    assert_eq!(pair.child.totals().counters.proxies, 3);
}
