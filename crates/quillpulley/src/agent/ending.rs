//! How an agent ends: a pure state machine.
//!
//! It refuses new children at once, sends its child agents to other parents a little later, and relays to its proxy
//! for as long as that serves.

use std::time::Duration;

/// Child agents are kept for this long, so that not all agents of a zone that end together move at once.
const KEEP_AGENTS: Duration = Duration::from_millis(200);
/// An agent without a proxy goes on for this long, so that its parent hears that the front is gone.
const LINGER: Duration = Duration::from_millis(300);
/// The time between its end and the moment at which it would be killed.
const MARGIN: Duration = Duration::from_secs(1);

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Take no new children.
    StopListening,
    /// Close the links from child agents.
    CloseAgents,
    /// End now.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    /// Told to end at a time. New children are refused.
    Refusing {
        since: Duration,
    },
    /// Only the proxy is served.
    ProxyOnly {
        since: Duration,
    },
    Over,
}

/// How far the end of an agent is.
pub struct Ending {
    state: State,
    /// The time from being told to end to being killed.
    grace: Duration,
    /// Since when there is no proxy.
    alone_since: Option<Duration>,
}

impl Ending {
    /// Creates an agent that serves, and that would be killed so long after it has been told to end.
    pub fn new(grace: Duration) -> Ending {
        Ending { state: State::Serving, grace, alone_since: Some(Duration::ZERO) }
    }

    /// The agent is told to end.
    pub fn stop(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == State::Serving {
            self.change(State::Refusing { since: now }, actions);
        }
    }

    /// Time has passed, or the proxy came or went.
    pub fn check(&mut self, now: Duration, has_proxy: bool, actions: &mut Vec<Action>) {
        self.alone_since = match has_proxy {
            true => None,
            false => self.alone_since.or(Some(now)),
        };
        if let State::Refusing { since } = self.state {
            if now >= since + KEEP_AGENTS {
                self.change(State::ProxyOnly { since }, actions);
            }
        }
        if now >= self.end() {
            self.change(State::Over, actions);
        }
    }

    /// Returns when [`Ending::check`] has something to do.
    pub fn next_tick(&self) -> Duration {
        match self.state {
            State::Refusing { since } => self.end().min(since + KEEP_AGENTS),
            _ => self.end(),
        }
    }

    /// Returns whether new children are to be refused.
    pub fn is_refusing(&self) -> bool {
        self.state != State::Serving
    }

    /// Returns whether the agent has ended.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Returns when it ends if the proxy neither comes nor goes.
    fn end(&self) -> Duration {
        let (State::Refusing { since } | State::ProxyOnly { since }) = self.state else {
            return Duration::MAX;
        };
        let latest = since + self.grace.saturating_sub(MARGIN);
        match self.alone_since {
            Some(alone) => (alone.max(since) + LINGER).min(latest.max(since + LINGER)),
            None => latest,
        }
    }

    /// The one change of state.
    fn change(&mut self, next: State, actions: &mut Vec<Action>) {
        self.state = next;
        actions.push(match next {
            State::Serving => return,
            State::Refusing { .. } => Action::StopListening,
            State::ProxyOnly { .. } => Action::CloseAgents,
            State::Over => Action::End,
        });
    }
}
