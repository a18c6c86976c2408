//! A test host that passes scripted events to one limiter.
#![allow(dead_code)]
pub mod sockets;

use rate_limiter::*;
use std::sync::Arc;

pub const EAST_1: &str = "10.0.0.1:1";
pub const EAST_2: &str = "10.0.0.2:1";
pub const WEST_1: &str = "10.0.0.3:1";

pub fn settings() -> Settings {
    let class = |name: &str, idempotency, scope| Class {
        name: name.into(),
        target_latency: 1.0,
        deadline: 4.0,
        value: 1.0,
        idempotency,
        scope,
        deduplication_window: 2.0,
        ..Class::default()
    };
    let plan = Plan { name: "plain".into(), rate: 10.0, burst: 20.0, price: 1.0, ..Plan::default() };
    Settings {
        limiter_count: 2,
        zone: "east".into(),
        round_interval: 0.002,
        classes: vec![
            class("read", Idempotency::Idempotent, Scope::All),
            class("keyed-all", Idempotency::Keyed, Scope::All),
            class("keyed-zone", Idempotency::Keyed, Scope::Zone),
            class("unsafe", Idempotency::NonIdempotent, Scope::All),
        ],
        plans: vec![
            plan.clone(),
            Plan { name: "capped".into(), max_in_flight: 2.0, ..plan.clone() },
            Plan { name: "hard".into(), hard_rate: 4.0, hard_burst: 8.0, hard_slack: 1.0, ..plan.clone() },
            Plan { name: "free".into(), rate: 0.0, burst: 0.0, ..plan },
        ],
        max_units: 4.0,
        has_counter: true,
        counter_timeout: 0.05,
        initial_capacity: 0.2,
        warmup_time: 20.0,
        overload_factor: 3.0,
        overload_window: 2.0,
        max_attempts: 4,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2.0,
        ..Settings::default()
    }
}

pub fn server_entry(id: &str, zone: &str, state: ServerState, started_at: Option<f64>) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        zone: zone.into(),
        kind: "std".into(),
        cell: if zone == "east" { 1 } else { 2 },
        state,
        weight: 1.0,
        started_at,
    }
}

/// A counter total is `admitted steps + PACKING_BASE * rejected steps`. For the plans of these tests, a step
/// is one unit.
pub const PACKING_BASE: f64 = 2_000.0;

pub struct Host {
    pub limiter: Limiter,
    pub now: f64,
    /// The names and amounts of the counter calls that are awaiting their responses.
    pub pending_calls: Vec<(String, f64)>,
    /// The number of limiters that receive requests of each tenant.
    pub tenant_limiters: u32,
    last_id: u64,
}

impl Host {
    /// Creates a host whose limiter knows two servers in zone `east` and one in zone `west`, all of them
    /// warm.
    pub fn new(settings: Settings) -> Self {
        Host::with_seed(settings, 7)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let in_service = ServerState::InService;
        let list = vec![
            server_entry(EAST_1, "east", in_service, None),
            server_entry(EAST_2, "east", in_service, None),
            server_entry(WEST_1, "west", in_service, None),
        ];
        let limiter = Limiter::new(settings, seed, 100.0);
        let mut host =
            Host { limiter, now: 100.0, pending_calls: Vec::new(), tenant_limiters: 2, last_id: 0 };
        host.handle(Event::ServerList(list));
        host
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::AddToCounter { name, amount, .. } = action {
                self.pending_calls.push((name.clone(), *amount));
            }
        }
        actions
    }

    pub fn submit(&mut self, tenant: &str, plan: &str, class: &str, units: f64) -> (u64, Vec<Action>) {
        self.submit_with_retry_mark(tenant, plan, class, units, false)
    }

    pub fn submit_with_retry_mark(
        &mut self,
        tenant: &str,
        plan: &str,
        class: &str,
        units: f64,
        is_retry: bool,
    ) -> (u64, Vec<Action>) {
        self.last_id += 1;
        let request = Request {
            id: self.last_id,
            tenant: tenant.into(),
            plan: plan.into(),
            class: class.into(),
            units,
            tenant_limiters: self.tenant_limiters,
            is_retry,
            deadline: self.now + 4.0,
        };
        (self.last_id, self.handle(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        units: Option<f64>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Completed;
        let report = LoadReport::default();
        self.handle(Event::AttemptFinished(AttemptResult {
            id,
            attempt,
            finished,
            outcome,
            elapsed: 0.05,
            units,
            report,
        }))
    }

    /// Submits a request and completes its attempt immediately. Returns whether the request was sent.
    pub fn serve(&mut self, tenant: &str, plan: &str, units: f64) -> bool {
        let (id, actions) = self.submit(tenant, plan, "read", units);
        let sent = sent_to(&actions).is_some();
        if sent {
            self.end_attempt(id, 0, Outcome::Completed, None);
        }
        sent
    }

    /// Serves requests of one unit until one is rejected, at most 200. Returns the number of requests served.
    pub fn serve_until_rejected(&mut self, tenant: &str, plan: &str) -> u32 {
        (0..200).take_while(|_| self.serve(tenant, plan, 1.0)).count() as u32
    }

    /// Responds to each pending counter call after 1 ms. `respond` returns the outcome and the total for the
    /// amount of a call. Returns the number of calls.
    pub fn respond_to_counter_calls(&mut self, respond: impl Fn(f64) -> (Outcome, f64)) -> usize {
        let calls = std::mem::take(&mut self.pending_calls);
        for (name, amount) in &calls {
            let (outcome, total) = respond(*amount);
            self.handle(Event::CounterResponse(CounterResponse {
                name: name.clone(),
                outcome,
                total,
                elapsed: 0.001,
            }));
        }
        calls.len()
    }

    /// Serves another tenant with a quick counter, until the limiter calls the counter for every request.
    pub fn with_quick_counter(mut self) -> Self {
        for _ in 0..100 {
            self.now += 0.6;
            self.serve("warm", "plain", 0.1);
            self.respond_to_counter_calls(|amount| (Outcome::Completed, amount));
        }
        self
    }
}

/// Returns the server of the first send in `actions`.
pub fn sent_to(actions: &[Action]) -> Option<Arc<str>> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

/// Returns the number of rejections in `actions`.
pub fn rejected_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

/// Returns the number of failed requests in `actions`.
pub fn failed_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
