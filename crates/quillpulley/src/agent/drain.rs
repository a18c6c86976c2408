//! The drain of an agent: a pure state machine.
//!
//! A draining agent rejects new children at once. Shortly afterwards it closes the links to its child agents, so that
//! they connect to other parents. It continues to relay published state to the proxy of its machine until the proxy
//! has disconnected, or until shortly before the process would be killed.

use std::time::Duration;

/// The time from the start of a drain until the links to child agents are closed. The delay keeps the agents of a zone
/// that is shut down as a whole from changing their parents all at the same time.
const CHILD_AGENT_GRACE: Duration = Duration::from_millis(200);
/// How long a draining agent keeps running after its proxy has disconnected, so that it can still report to its parent
/// that the endpoint of the proxy is removed.
const ENDPOINT_REMOVAL_GRACE: Duration = Duration::from_millis(300);
/// The agent exits this long before the end of the grace period, when it would be killed.
const EXIT_MARGIN: Duration = Duration::from_secs(1);

/// An action that the event loop has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stop accepting connections from children.
    StopListening,
    /// Close the links to all child agents. The link to the proxy stays open.
    CloseChildAgents,
    /// Exit the process now.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    Serving,
    /// The drain began at `since`. New children are rejected, and existing ones are still served.
    RejectingChildren {
        since: Duration,
    },
    /// The links to child agents are closed, and only the proxy is served. The drain began at `since`.
    ProxyOnly {
        since: Duration,
    },
    Finished,
}

/// The drain of an agent. All times are measured from the start of the process.
pub struct AgentDrain {
    state: DrainState,
    /// The time between SIGTERM and SIGKILL.
    grace: Duration,
    /// Since when no proxy has been connected; `None` while one is.
    without_proxy_since: Option<Duration>,
}

impl AgentDrain {
    /// Creates the state of an agent that is not draining, and that will be killed `grace` after its drain begins.
    pub fn new(grace: Duration) -> AgentDrain {
        AgentDrain { state: DrainState::Serving, grace, without_proxy_since: Some(Duration::ZERO) }
    }

    /// Sets the time between SIGTERM and SIGKILL.
    pub fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// Begins the drain. Has no effect if it has already begun.
    pub fn begin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == DrainState::Serving {
            self.change_state(DrainState::RejectingChildren { since: now }, actions);
        }
    }

    /// Advances the drain. Must be called after time has passed, and after the proxy has connected or disconnected.
    pub fn update(&mut self, now: Duration, has_proxy: bool, actions: &mut Vec<Action>) {
        self.without_proxy_since = match has_proxy {
            true => None,
            false => self.without_proxy_since.or(Some(now)),
        };
        if let DrainState::RejectingChildren { since } = self.state {
            if now >= since + CHILD_AGENT_GRACE {
                self.change_state(DrainState::ProxyOnly { since }, actions);
            }
        }
        if now >= self.finish_at() {
            self.change_state(DrainState::Finished, actions);
        }
    }

    /// Returns when [`AgentDrain::update`] must be called next, or `Duration::MAX` if no timer is running.
    pub fn next_tick(&self) -> Duration {
        match self.state {
            DrainState::RejectingChildren { since } => self.finish_at().min(since + CHILD_AGENT_GRACE),
            _ => self.finish_at(),
        }
    }

    /// Returns whether new children must be rejected, which is the case from the start of the drain.
    pub fn rejects_children(&self) -> bool {
        self.state != DrainState::Serving
    }

    /// Returns whether the drain has finished and the agent must exit.
    pub fn is_finished(&self) -> bool {
        self.state == DrainState::Finished
    }

    /// Returns when the drain finishes, provided that the proxy neither connects nor disconnects until then.
    fn finish_at(&self) -> Duration {
        let (DrainState::RejectingChildren { since } | DrainState::ProxyOnly { since }) = self.state else {
            return Duration::MAX;
        };
        let latest = since + self.grace.saturating_sub(EXIT_MARGIN);
        match self.without_proxy_since {
            Some(proxy_lost_at) => (proxy_lost_at.max(since) + ENDPOINT_REMOVAL_GRACE)
                .min(latest.max(since + ENDPOINT_REMOVAL_GRACE)),
            None => latest,
        }
    }

    /// Changes the state and adds the resulting action. All state transitions go through this function.
    fn change_state(&mut self, next: DrainState, actions: &mut Vec<Action>) {
        self.state = next;
        actions.push(match next {
            DrainState::Serving => return,
            DrainState::RejectingChildren { .. } => Action::StopListening,
            DrainState::ProxyOnly { .. } => Action::CloseChildAgents,
            DrainState::Finished => Action::Exit,
        });
    }
}
