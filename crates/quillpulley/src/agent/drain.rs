//! The drain of an agent: a pure state machine.
//!
//! A draining agent rejects new children at once, closes the links of its child agents a little later, so that they
//! find other parents, and relays to its proxy for as long as that serves clients.

use std::time::Duration;

/// How long child agents are kept, so that the agents of a zone that is shut down do not all move at once.
const CHILD_AGENT_GRACE: Duration = Duration::from_millis(200);
/// How long an agent without a proxy stays, so that its parent learns that the proxy's endpoint is removed.
const PUBLISH_TIME: Duration = Duration::from_millis(300);
/// How long before the kill the agent exits.
const EXIT_MARGIN: Duration = Duration::from_secs(1);

/// An action for the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Accept no new children.
    StopListening,
    /// Close the links of child agents.
    CloseChildAgents,
    /// Exit now.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    Serving,
    /// The drain began at this time, and new children are rejected.
    RejectingChildren {
        since: Duration,
    },
    /// Only the proxy is served.
    ProxyOnly {
        since: Duration,
    },
    Finished,
}

/// The drain of an agent. Times are since the start of the process.
pub struct AgentDrain {
    state: DrainState,
    /// The time between the signal and the kill.
    grace: Duration,
    /// When the proxy disconnected.
    without_proxy_since: Option<Duration>,
}

impl AgentDrain {
    /// Creates the state of an agent that serves, and is killed `grace` after its drain begins.
    pub fn new(grace: Duration) -> AgentDrain {
        AgentDrain { state: DrainState::Serving, grace, without_proxy_since: Some(Duration::ZERO) }
    }

    /// Begins the drain.
    pub fn begin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == DrainState::Serving {
            self.change(DrainState::RejectingChildren { since: now }, actions);
        }
    }

    /// Advances the drain after time has passed, or the proxy has connected or disconnected.
    pub fn update(&mut self, now: Duration, has_proxy: bool, actions: &mut Vec<Action>) {
        self.without_proxy_since = match has_proxy {
            true => None,
            false => self.without_proxy_since.or(Some(now)),
        };
        if let DrainState::RejectingChildren { since } = self.state {
            if now >= since + CHILD_AGENT_GRACE {
                self.change(DrainState::ProxyOnly { since }, actions);
            }
        }
        if now >= self.finish_at() {
            self.change(DrainState::Finished, actions);
        }
    }

    /// Returns when [`AgentDrain::update`] is due.
    pub fn next_tick(&self) -> Duration {
        match self.state {
            DrainState::RejectingChildren { since } => self.finish_at().min(since + CHILD_AGENT_GRACE),
            _ => self.finish_at(),
        }
    }

    /// Returns whether new children are rejected.
    pub fn rejects_children(&self) -> bool {
        self.state != DrainState::Serving
    }

    /// Returns whether the agent exits.
    pub fn is_finished(&self) -> bool {
        self.state == DrainState::Finished
    }

    /// Returns when the drain finishes if the proxy neither connects nor disconnects.
    fn finish_at(&self) -> Duration {
        let (DrainState::RejectingChildren { since } | DrainState::ProxyOnly { since }) = self.state else {
            return Duration::MAX;
        };
        let latest = since + self.grace.saturating_sub(EXIT_MARGIN);
        match self.without_proxy_since {
            Some(alone) => (alone.max(since) + PUBLISH_TIME).min(latest.max(since + PUBLISH_TIME)),
            None => latest,
        }
    }

    /// Changes the state. Every change happens here.
    fn change(&mut self, next: DrainState, actions: &mut Vec<Action>) {
        self.state = next;
        actions.push(match next {
            DrainState::Serving => return,
            DrainState::RejectingChildren { .. } => Action::StopListening,
            DrainState::ProxyOnly { .. } => Action::CloseChildAgents,
            DrainState::Finished => Action::Exit,
        });
    }
}
