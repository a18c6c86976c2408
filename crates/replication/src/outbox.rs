//! The actions that result from one event, and the messages that a node sends to itself meanwhile.

use quillpulley_protocol::Body;
use std::collections::VecDeque;

use crate::event::Action;

/// Collects the actions and loopback messages of the event that is being handled.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Messages from this node to itself, which are handled before [`crate::Replica::handle`] returns.
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

    /// Moves all collected actions to the end of `actions`.
    pub fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
