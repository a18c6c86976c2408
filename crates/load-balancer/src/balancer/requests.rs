//! Requests under way, and what their ends tell of servers.

use super::health::{Event, Fitness};
use super::load::Burden;
use super::server::Server;
use super::{Balancer, FailureKind, Outcome, ServerKey};
use crate::demand::Demand;
use std::time::Duration;

slotmap::new_key_type! {
    pub(super) struct RequestKey;
}

/// A server that was not healthy for this long may have been gone, and come back cold.
const BACK_COLD: Duration = Duration::from_secs(1);

/// A request under way at a server; to be given back when it has ended.
#[must_use = "a request that is not ended stays under way"]
#[derive(Debug)]
pub struct Ticket {
    request: RequestKey,
    server: ServerKey,
}

impl Ticket {
    /// Returns the server that the request was sent to.
    pub fn server(&self) -> ServerKey {
        self.server
    }
}

/// The answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The server is well, and stays cold for this long, if it told.
    Well {
        /// For how long it stays cold; zero for a warm one.
        warmup_remaining: Option<Duration>,
    },
    /// It is not well, or did not answer.
    Failed,
}

/// A request under way.
pub(super) struct UnderWay {
    server: ServerKey,
    begun: Duration,
    started: bool,
    is_trial: bool,
    burden: Burden,
    /// Tokens that the server had to read before, when the request was sent.
    ahead: f64,
}

impl Balancer {
    /// Records that a request is about to be sent to a server.
    pub fn begin(&mut self, now: Duration, key: ServerKey, demand: &Demand<'_>) -> Ticket {
        let burden = Burden::new(demand, self.unread_tokens(now, key, demand));
        self.kept.note(now, key, demand.prefix);
        if let Some(service) = self.services.get_mut(demand.service) {
            service.pace.begun(demand.private_tokens());
        }
        let server = self.servers.get_mut(key);
        let (ahead, is_trial) = server.map_or((0.0, false), |server| server.begin(now, &burden));
        let request = UnderWay { server: key, begun: now, started: false, is_trial, burden, ahead };
        Ticket { request: self.requests.insert(request), server: key }
    }

    /// The answer has begun.
    pub fn started(&mut self, now: Duration, ticket: &Ticket) {
        let Some(request) = self.requests.get_mut(ticket.request).filter(|request| !request.started) else {
            return;
        };
        request.started = true;
        let Some(server) = self.servers.get_mut(request.server) else { return };
        server.load.start(now, &request.burden);
        let time = now.saturating_sub(request.begun);
        let work = f64::from(request.burden.unread) + request.ahead;
        if let Some(service) = self.services.get_mut(&server.info.service) {
            let per_token = service.pace.first_byte(time, server.distance as usize, work);
            server.speed.add(now, per_token);
        }
        self.heard_well(now, ticket.server);
    }

    /// A request has ended.
    pub fn end(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) {
        let Some(request) = self.requests.remove(ticket.request) else { return };
        if !request.started && outcome != Outcome::Served {
            self.kept.forget(request.server, request.burden.shared_ids());
        }
        let Some(server) = self.servers.get_mut(request.server) else { return };
        server.load.end(now, &request.burden, request.started, is_word(outcome));
        match outcome {
            Outcome::Served => {
                server.failures.count(now, false);
                let time = now.saturating_sub(request.begun);
                if let Some(service) = self.services.get_mut(&server.info.service) {
                    service.pace.ended(time);
                }
                self.heard_well(now, ticket.server);
            }
            Outcome::NotExecuted { full } => {
                if full {
                    server.set_full(now);
                }
                self.heard_well(now, ticket.server);
            }
            Outcome::Failed(kind) => {
                server.failures.count(now, true);
                server.health.handle(now, Event::Failed(kind));
            }
            Outcome::Misdirected => server.set_misdirected(),
            Outcome::ClientLeft if request.is_trial => {
                server.health.handle(now, Event::TrialAbandoned);
            }
            Outcome::ClientLeft => {}
        }
    }

    /// Returns whether a server leaves requests without a word for longer than what it has to do explains. It may be
    /// dead: what may run again need not wait for it.
    pub fn is_silent(&self, now: Duration, key: ServerKey) -> bool {
        let Some(server) = self.servers.get(key) else { return false };
        let service = self.services.get(&server.info.service);
        service.is_some_and(|service| server.load.is_silent(now, &service.pace))
    }

    /// Ejected servers for which a health check should be made now. It is taken to be made: its answer has to be
    /// given to [`Balancer::probed`]. A server whose check fails stays ejected; without checks, requests are sent
    /// as trials.
    pub fn probes_due(&mut self, now: Duration) -> Vec<ServerKey> {
        let is_due = |server: &Server| server.is_usable() && server.health.check_due(now);
        let due = self.servers.iter_mut().filter(|(_, server)| is_due(server));
        let begin = |(key, server): (ServerKey, &mut Server)| {
            server.health.handle(now, Event::CheckBegun);
            key
        };
        due.map(begin).collect()
    }

    /// A health check was answered, or failed.
    pub fn probed(&mut self, now: Duration, key: ServerKey, answer: Probe) {
        match answer {
            Probe::Failed => {
                if let Some(server) = self.servers.get_mut(key) {
                    server.health.handle(now, Event::CheckFailed);
                }
            }
            Probe::Well { warmup_remaining } => {
                self.heard_well(now, key);
                if let Some(left) = warmup_remaining {
                    self.learn_cold(now, key, left);
                }
            }
        }
    }

    /// A server has answered. One that was away for long may be back cold.
    fn heard_well(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let away = server.health.handle(now, Event::Answered);
        if away.is_some_and(|away| away >= BACK_COLD) {
            let warmup = self.services.get(&server.info.service).map(|service| service.settings.warmup);
            server.presume_cold(now, warmup.unwrap_or_default());
        }
    }
}

impl Server {
    /// Takes a request; gives the tokens that it has to read before, and whether the request is its trial.
    fn begin(&mut self, now: Duration, burden: &Burden) -> (f64, bool) {
        let ahead = self.load.total(now).waiting_tokens;
        let is_trial = self.health.fitness(now, false) == Fitness::Trial;
        if is_trial {
            self.health.handle(now, Event::TrialBegun);
        }
        self.load.begin(now, burden);
        self.sends.count(now);
        (ahead, is_trial)
    }
}

/// Returns whether the server has said something.
fn is_word(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Served | Outcome::NotExecuted { .. } | Outcome::Misdirected => true,
        Outcome::Failed(kind) => matches!(kind, FailureKind::ServerError | FailureKind::Garbled),
        Outcome::ClientLeft => false,
    }
}
