//! The host of the limiter: passes events with the current time to it, and performs its actions.
//!
//! The host owns the [`Limiter`], the clock, the timers and the table of requests. Only the host calls the limiter, and
//! everything runs on one thread. Events are queued and handled one at a time, so that an action with an immediate
//! outcome does not re-enter the limiter.

mod clock;
mod open_request;
mod timers;

use crate::counter::{Counter, CounterRequest};
use crate::discovery::{Discovery, Update};
use crate::upstream::{AttemptDeadlines, AttemptHandle, AttemptId, AttemptOutcome, ListedServer, Servers};
use clock::Clock;
use open_request::{ClosedAttempt, OpenAttempt, OpenRequest};
use rate_limiter::{
    Action, AttemptResult, CounterResponse, Event, Limiter, LoadReport, Outcome, Request, RequestId,
    ServerEntry, ServerId, ServerState, Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

pub use open_request::{FinalResponse, IncomingRequest};

/// Maximum timeout of an attempt, in seconds.
const MAX_TIMEOUT_S: f64 = 1e6;

/// A request that was submitted.
pub struct SubmittedRequest {
    pub id: RequestId,
    /// Receives the final response, exactly once.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The host of a limiter. See the module documentation.
pub struct Host {
    limiter: RefCell<Limiter>,
    clock: Clock,
    queue: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    requests: RefCell<HashMap<RequestId, OpenRequest>>,
    next_id: Cell<RequestId>,
    timers: Timers,
    max_attempts: u32,
    servers: Rc<Servers>,
    counter: Rc<Counter>,
    discovery: Rc<Discovery>,
}

impl Host {
    pub fn new(
        settings: Settings,
        seed: u64,
        servers: Servers,
        counter: Counter,
        discovery: Discovery,
    ) -> Rc<Self> {
        let clock = Clock::start();
        Rc::new(Host {
            max_attempts: settings.max_attempts.max(1),
            limiter: RefCell::new(Limiter::new(settings, seed, clock.now())),
            clock,
            queue: RefCell::default(),
            is_handling: Cell::new(false),
            requests: RefCell::default(),
            next_id: Cell::new(1),
            timers: Timers::default(),
            servers: Rc::new(servers),
            counter: Rc::new(counter),
            discovery: Rc::new(discovery),
        })
    }

    pub fn servers(&self) -> &Rc<Servers> {
        &self.servers
    }

    pub fn counter(&self) -> &Rc<Counter> {
        &self.counter
    }

    pub fn discovery(&self) -> &Rc<Discovery> {
        &self.discovery
    }

    /// Returns the number of open requests, including those that only wait for the outcome of an attempt.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    // ----- events -----

    /// Submits a completely read request to the limiter.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> SubmittedRequest {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (sender, response) = oneshot::channel();
        let deadline = self.clock.seconds(incoming.forwarded.deadline);
        self.requests.borrow_mut().insert(id, OpenRequest::new(incoming.forwarded, sender));
        self.dispatch(Event::Request(Request {
            id,
            tenant: incoming.tenant.into(),
            plan: incoming.plan.into(),
            class: incoming.class.into(),
            units: incoming.units,
            tenant_limiters: incoming.tenant_limiters,
            is_retry: incoming.is_retry,
            deadline,
        }));
        SubmittedRequest { id, response }
    }

    /// Returns whether the client of a request is still waiting for its final response.
    pub fn awaits_response(&self, id: RequestId) -> bool {
        self.requests.borrow().get(&id).is_some_and(OpenRequest::awaits_response)
    }

    /// Handles the close of a client's connection. Ignored if the request has its final response.
    pub fn client_closed(self: &Rc<Self>, id: RequestId) {
        let was_waiting = self.requests.borrow_mut().get_mut(&id).is_some_and(OpenRequest::client_closed);
        if was_waiting {
            self.dispatch(Event::ClientClosed { id });
            self.remove_if_done(id);
        }
    }

    /// Handles the end of an attempt. Ignored if the attempt was closed before.
    pub fn attempt_finished(self: &Rc<Self>, attempt: AttemptId, mut outcome: AttemptOutcome) {
        let AttemptId { request: id, number } = attempt;
        let closed = {
            let mut requests = self.requests.borrow_mut();
            let Some(request) = requests.get_mut(&id) else { return };
            request.close_attempt(number, &mut outcome)
        };
        let Some(ClosedAttempt { elapsed, finished }) = closed else { return };
        self.dispatch(Event::AttemptFinished(AttemptResult {
            id,
            attempt: number,
            finished,
            outcome: outcome.outcome,
            elapsed: elapsed.as_secs_f64(),
            units: outcome.units,
            report: outcome.report,
        }));
        self.remove_if_done(id);
    }

    /// Handles the end of a call to the counter.
    pub fn counter_response(self: &Rc<Self>, name: String, outcome: Outcome, total: f64, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        self.dispatch(Event::CounterResponse(CounterResponse { name, outcome, total, elapsed }));
    }

    /// Handles the end of a probe.
    pub fn probe_response(self: &Rc<Self>, server: ServerId, outcome: Outcome, report: LoadReport) {
        self.dispatch(Event::ProbeResponse { server, outcome, report });
    }

    /// Applies an update of the server list. Aborts the open attempts at removed servers, and those at draining servers
    /// whose requests are not written completely, because neither may get new requests.
    pub fn update_servers(self: &Rc<Self>, update: &Update) {
        let entries: Vec<ServerEntry> = update.instances.iter().map(|instance| instance.entry()).collect();
        for (instance, entry) in update.instances.iter().zip(&entries) {
            self.servers.update(&entry.id, ListedServer { address: instance.host_port, state: entry.state });
        }
        let ids_in_state = |state: ServerState| {
            let ids = entries.iter().filter(move |entry| entry.state == state);
            ids.map(|entry| entry.id.clone()).collect::<Vec<_>>()
        };
        let draining = ids_in_state(ServerState::Draining);
        let mut removed = ids_in_state(ServerState::Removed);
        if update.reset {
            removed.extend(self.remove_unlisted(&entries));
        }
        // The limiter gets the update before the attempts are aborted, so that its retries avoid these servers.
        self.dispatch(match update.reset {
            true => Event::ServerList(entries),
            false => Event::ServerChanges(entries),
        });
        self.abort_attempts(|attempt| {
            removed.contains(&attempt.server)
                || (draining.contains(&attempt.server) && !attempt.handle.was_sent())
        });
    }

    /// Removes the servers that are not in a complete list, and returns their ids.
    fn remove_unlisted(&self, entries: &[ServerEntry]) -> Vec<ServerId> {
        let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let is_unlisted = |id: &ServerId| entries.iter().all(|entry| entry.id != *id);
        let unlisted: Vec<ServerId> = self.servers.ids().into_iter().filter(is_unlisted).collect();
        for id in &unlisted {
            self.servers.update(id, ListedServer { address, state: ServerState::Removed });
        }
        unlisted
    }

    /// Aborts all open attempts that `is_affected` selects, and reports their outcomes to the limiter.
    fn abort_attempts(self: &Rc<Self>, is_affected: impl Fn(&OpenAttempt) -> bool) {
        let affected: Vec<(AttemptId, bool)> = {
            let requests = self.requests.borrow();
            let open = requests.iter().filter_map(|(id, request)| Some((*id, request.attempt()?)));
            let affected = open.filter(|(_, attempt)| is_affected(attempt));
            let described = affected.map(|(request, attempt)| {
                (AttemptId { request, number: attempt.number }, attempt.handle.was_sent())
            });
            described.collect()
        };
        for (attempt, was_sent) in affected {
            self.abort(attempt);
            let outcome = if was_sent { Outcome::Reset } else { Outcome::ConnectFailed };
            self.attempt_finished(attempt, AttemptOutcome::without_response(outcome));
        }
    }

    /// Handles a failed call to discovery, or the end of a watch.
    pub fn discovery_failed(self: &Rc<Self>) {
        self.dispatch(Event::DiscoveryFailed);
    }

    /// Dispatches timers as they expire, until the future is dropped.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            for token in self.timers.expired().await {
                self.dispatch(Event::Timer { token });
            }
        }
    }

    // ----- actions -----

    /// Passes an event to the limiter and performs the resulting actions. If another event is being handled, the event is
    /// queued behind it.
    fn dispatch(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            self.limiter.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
        self.is_handling.set(false);
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, timeout, send_by } => {
                self.send(id, server, timeout, send_by.map(|at| self.clock.instant(at)));
            }
            Action::Reject { id, retry_after } => self.respond(id, FinalResponse::Rejected(retry_after)),
            Action::Fail { id } => self.respond(id, FinalResponse::Failed),
            Action::Cancel { id, attempt: number } => {
                let attempt = AttemptId { request: id, number };
                if self.abort(attempt) {
                    self.attempt_finished(attempt, AttemptOutcome::without_response(Outcome::Cancelled));
                }
            }
            Action::AddToCounter { name, amount, ttl } => {
                let call = CounterRequest { name: name.clone(), amount, ttl };
                if let Err(outcome) = self.counter.call(self, call) {
                    self.counter_response(name, outcome, 0.0, Duration::ZERO);
                }
            }
            Action::SetTimer { at, token } => self.timers.add(self.clock.instant(at), token),
            Action::Probe { server } => {
                spawn_local(self.servers.clone().probe(self.clone(), server));
            }
            Action::WatchServers => self.discovery.request_watch(),
        }
    }

    /// Starts an attempt. As a safeguard against errors of the limiter, the attempt ends with [`Outcome::NotSent`] if the
    /// request has its final response, has another open attempt, or has used the maximum number of attempts.
    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: f64, send_by: Option<Instant>) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&id) else { return };
        let number = request.next_attempt();
        if timeout < 0.0 || !request.may_start(number, self.max_attempts) {
            drop(requests);
            return self.dispatch(Event::AttemptFinished(AttemptResult {
                id,
                attempt: number,
                finished: false,
                outcome: Outcome::NotSent,
                elapsed: 0.0,
                units: None,
                report: LoadReport::default(),
            }));
        }
        let now = Instant::now();
        let forwarded = request.forwarded().clone();
        let give_up_at = match timeout > 0.0 {
            true => forwarded.deadline.min(now + Duration::from_secs_f64(timeout.min(MAX_TIMEOUT_S))),
            false => forwarded.deadline,
        };
        let handle = Rc::new(AttemptHandle::default());
        let task = spawn_local(self.servers.clone().attempt(
            self.clone(),
            AttemptId { request: id, number },
            server.clone(),
            forwarded,
            handle.clone(),
            AttemptDeadlines { give_up_at, send_by },
        ));
        request.open_attempt(OpenAttempt { number, server, started_at: now, handle, task });
    }

    /// Aborts an attempt: closes its connection and stops its task before it returns. Returns whether the attempt was
    /// open.
    fn abort(&self, attempt: AttemptId) -> bool {
        let requests = self.requests.borrow();
        let open = requests.get(&attempt.request).and_then(OpenRequest::attempt);
        let Some(open) = open.filter(|open| open.number == attempt.number) else { return false };
        open.handle.abort();
        open.task.abort();
        true
    }

    fn respond(&self, id: RequestId, response: FinalResponse) {
        if let Some(request) = self.requests.borrow_mut().get_mut(&id) {
            request.respond(response);
        }
        self.remove_if_done(id);
    }

    fn remove_if_done(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        if requests.get(&id).is_some_and(OpenRequest::is_done) {
            requests.remove(&id);
        }
    }
}
