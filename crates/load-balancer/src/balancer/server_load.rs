//! What is in flight at a server: the own requests, and those of others as they were last told.

use super::service_rate::ServiceRate;
use crate::demand::Demand;
use quillpulley_protocol::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// What others told is taken as it is for this long, and fades until it is twice as old. Without news a server
/// would else stay avoided, or sought, for what is long over.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Numbers of requests, and what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadCounts {
    /// Requests whose answer has begun.
    pub(crate) running: f64,
    /// Requests whose answer has not begun.
    pub(crate) waiting: f64,
    /// Tokens of the waiting requests' prompts that the server has yet to read.
    pub(crate) waiting_tokens: f64,
    /// Failures recently.
    pub(crate) failures: f64,
}

impl LoadCounts {
    fn of(load: &ServerLoad) -> Self {
        LoadCounts {
            running: f64::from(load.running),
            waiting: f64::from(load.waiting),
            waiting_tokens: f64::from(load.prompt_tokens),
            failures: f64::from(load.failures),
        }
    }

    /// Returns what is left without a part, none of it below zero, faded.
    fn without(&self, part: &LoadCounts, factor: f64) -> LoadCounts {
        let remaining = |all: f64, part: f64| (all - part).max(0.0) * factor;
        LoadCounts {
            running: remaining(self.running, part.running),
            waiting: remaining(self.waiting, part.waiting),
            waiting_tokens: remaining(self.waiting_tokens, part.waiting_tokens),
            failures: remaining(self.failures, part.failures),
        }
    }

    pub(crate) fn requests(&self) -> f64 {
        self.running + self.waiting
    }
}

/// What a request adds to a server's load.
#[derive(Clone, Debug)]
pub(crate) struct RequestCost {
    /// Tokens of its prompt that the server has to read.
    pub(crate) unread: u32,
    /// Tokens that it alone needs in the server's memory.
    private: u32,
    /// The parts that it shares with others, and their lengths.
    shared: Box<[(u64, u32)]>,
}

impl RequestCost {
    pub(crate) fn new(demand: &Demand<'_>, unread: u32) -> Self {
        let shared = demand.shared().iter().map(|part| (part.id, part.tokens)).collect();
        RequestCost { unread, private: demand.private_tokens(), shared }
    }

    pub(crate) fn shared_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared.iter().map(|(id, _)| *id)
    }
}

/// What is in flight at a server.
#[derive(Default)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    waiting_tokens: u64,
    private_tokens: u64,
    /// Shared parts of requests in flight: how many of these have it, and its length.
    shared: BTreeMap<u64, (u32, u32)>,
    shared_tokens: u64,
    /// Since when nothing has been heard of the server while a request waits.
    unresponsive_since: Option<Duration>,
    /// The own tally as others were last told.
    reported: LoadCounts,
    others: LoadCounts,
    reported_at: Duration,
}

impl Load {
    pub(crate) fn begin(&mut self, now: Duration, request_cost: &RequestCost) {
        self.waiting += 1;
        self.waiting_tokens += u64::from(request_cost.unread);
        self.private_tokens += u64::from(request_cost.private);
        for (id, tokens) in request_cost.shared.iter().copied() {
            let (users, _) = self.shared.entry(id).or_insert((0, tokens));
            *users += 1;
            if *users == 1 {
                self.shared_tokens += u64::from(tokens);
            }
        }
        self.unresponsive_since = self.unresponsive_since.or(Some(now));
    }

    /// The response of a waiting request has begun.
    pub(crate) fn start(&mut self, now: Duration, request_cost: &RequestCost) {
        self.stop_waiting(request_cost);
        self.running += 1;
        self.record_response_time(now);
    }

    /// A request has ended; `is_response`: the server has said something.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        request_cost: &RequestCost,
        record_started: bool,
        is_response: bool,
    ) {
        if record_started {
            self.running = self.running.saturating_sub(1);
        } else {
            self.stop_waiting(request_cost);
        }
        self.private_tokens = self.private_tokens.saturating_sub(u64::from(request_cost.private));
        for id in request_cost.shared_ids() {
            self.release(id);
        }
        if is_response || self.waiting == 0 {
            self.record_response_time(now);
        }
    }

    fn stop_waiting(&mut self, request_cost: &RequestCost) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(request_cost.unread));
    }

    fn release(&mut self, id: u64) {
        let Some((users, tokens)) = self.shared.get_mut(&id) else { return };
        *users -= 1;
        if *users == 0 {
            self.shared_tokens = self.shared_tokens.saturating_sub(u64::from(*tokens));
            self.shared.remove(&id);
        }
    }

    fn record_response_time(&mut self, now: Duration) {
        self.unresponsive_since = (self.waiting > 0).then_some(now);
    }

    /// Returns for how long requests have waited without a word of the server.
    fn response_timeout(&self, now: Duration) -> Duration {
        self.unresponsive_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether requests have waited for longer than the service's pace explains.
    pub(crate) fn is_unresponsive(&self, now: Duration, rate: &ServiceRate) -> bool {
        self.response_timeout(now) > rate.response_timeout(self.total(now).waiting_tokens)
    }

    /// Requests that wait for a server which has said nothing for longer than it may.
    pub(crate) fn unanswered(&self, now: Duration, rate: &ServiceRate) -> f64 {
        if self.is_unresponsive(now, rate) {
            return f64::from(self.waiting);
        }
        0.0
    }

    /// Own requests in flight.
    pub(crate) fn own(&self) -> u32 {
        self.running + self.waiting
    }

    /// Returns what is to be told to others, which is remembered.
    pub(crate) fn report(&mut self, server: u64, failures: f64) -> ServerLoad {
        let load = ServerLoad {
            server,
            running: self.running,
            waiting: self.waiting,
            prompt_tokens: u32::try_from(self.waiting_tokens).unwrap_or(u32::MAX),
            failures: failures.round() as u32,
        };
        self.reported = LoadCounts::of(&load);
        load
    }

    /// The sum over all proxies; `None` where nobody has anything in flight.
    pub(crate) fn set_total(&mut self, now: Duration, total: Option<&ServerLoad>) {
        let total = total.map(LoadCounts::of).unwrap_or_default();
        self.others = total.without(&self.reported, 1.0);
        self.reported_at = now;
    }

    /// Returns what others have in flight.
    pub(crate) fn others(&self, now: Duration) -> LoadCounts {
        let age = now.saturating_sub(self.reported_at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        self.others.without(&LoadCounts::default(), (2.0 - age).clamp(0.0, 1.0))
    }

    /// Returns what all proxies have in flight.
    pub(crate) fn total(&self, now: Duration) -> LoadCounts {
        let others = self.others(now);
        LoadCounts {
            running: others.running + f64::from(self.running),
            waiting: others.waiting + f64::from(self.waiting),
            waiting_tokens: others.waiting_tokens + self.waiting_tokens as f64,
            failures: others.failures,
        }
    }

    /// Tokens in the server's memory that cannot give way, where each request of others needs as much as given.
    pub(crate) fn memory(&self, now: Duration, mean_private_tokens: f64) -> f64 {
        let others = self.others(now).requests() * mean_private_tokens;
        self.private_tokens as f64 + self.shared_tokens as f64 + others
    }
}
