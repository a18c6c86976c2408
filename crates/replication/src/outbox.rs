//! The actions of one event, and the messages that a node sends to itself.

use quillpulley_protocol::Body;
use std::collections::VecDeque;

use crate::event::Action;

/// Collects what an event results in.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Messages of this node to itself, handled before the event is over.
    loopback: VecDeque<Body>,
}

impl Outbox {
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub fn push_loopback(&mut self, body: Body) {
        self.loopback.push_back(body);
    }

    pub fn pop_loopback(&mut self) -> Option<Body> {
        self.loopback.pop_front()
    }

    /// Moves all actions to `actions`.
    pub fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
