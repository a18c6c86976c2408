//! The load of a server: the requests of this proxy, and those that the other proxies have reported.

use super::service_rate::ServiceRate;
use crate::demand::Demand;
use quillpulley_protocol::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// The age up to which the load that other proxies have reported counts in full. From then on it decays
/// linearly, to zero at twice this age, so that no server is avoided or preferred because of a load that has
/// long ended.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Numbers of requests, which are fractions where a reported load has decayed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadCounts {
    /// Requests whose response has begun.
    pub(crate) running: f64,
    /// Requests whose response has not begun.
    pub(crate) waiting: f64,
    /// Prompt tokens of the waiting requests.
    pub(crate) waiting_tokens: f64,
    /// Recent failures.
    pub(crate) failures: f64,
}

impl LoadCounts {
    fn from_report(load: &ServerLoad) -> Self {
        LoadCounts {
            running: f64::from(load.running),
            waiting: f64::from(load.waiting),
            waiting_tokens: f64::from(load.prompt_tokens),
            failures: f64::from(load.failures),
        }
    }

    /// Returns these counts minus `part`, each at least zero, multiplied by `factor`.
    fn scaled_difference(&self, part: &LoadCounts, factor: f64) -> LoadCounts {
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

/// The load that a request puts on a server.
#[derive(Clone, Debug)]
pub(crate) struct RequestLoad {
    /// The prompt tokens that the server has to prefill.
    pub(crate) prefill_tokens: u32,
    /// The tokens that the server keeps in memory for this request alone.
    private_tokens: u32,
    /// The ids of the shared segments, and their lengths in tokens.
    shared_segments: Box<[(u64, u32)]>,
}

impl RequestLoad {
    pub(crate) fn new(demand: &Demand<'_>, prefill_tokens: u32) -> Self {
        let shared_segments =
            demand.shared_segments().iter().map(|segment| (segment.id, segment.tokens)).collect();
        RequestLoad { prefill_tokens, private_tokens: demand.private_tokens(), shared_segments }
    }

    pub(crate) fn shared_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared_segments.iter().map(|(id, _)| *id)
    }
}

/// The load of a server.
#[derive(Default)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    waiting_tokens: u64,
    private_tokens: u64,
    /// The shared segments of the requests in flight, by id: the number of requests that use the segment, and
    /// its length in tokens.
    shared_segments: BTreeMap<u64, (u32, u32)>,
    shared_tokens: u64,
    /// Since when the server has not responded although requests wait; `None` while no request waits.
    no_response_since: Option<Duration>,
    /// The latest counts that this proxy has reported.
    own_reported: LoadCounts,
    /// The counts of the other proxies, as of `others_updated_at`.
    others: LoadCounts,
    others_updated_at: Duration,
}

impl Load {
    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, now: Duration, request_load: &RequestLoad) {
        self.waiting += 1;
        self.waiting_tokens += u64::from(request_load.prefill_tokens);
        self.private_tokens += u64::from(request_load.private_tokens);
        for (id, tokens) in request_load.shared_segments.iter().copied() {
            let (users, _) = self.shared_segments.entry(id).or_insert((0, tokens));
            *users += 1;
            if *users == 1 {
                self.shared_tokens += u64::from(tokens);
            }
        }
        self.no_response_since = self.no_response_since.or(Some(now));
    }

    /// Records that the response of a waiting request has begun.
    pub(crate) fn start(&mut self, now: Duration, request_load: &RequestLoad) {
        self.stop_waiting(request_load);
        self.running += 1;
        self.record_response(now);
    }

    /// Records the end of a request. `has_started` is whether its response had begun, and `is_response`
    /// whether its outcome proves that the server has responded.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        request_load: &RequestLoad,
        has_started: bool,
        is_response: bool,
    ) {
        if has_started {
            self.running = self.running.saturating_sub(1);
        } else {
            self.stop_waiting(request_load);
        }
        self.private_tokens = self.private_tokens.saturating_sub(u64::from(request_load.private_tokens));
        for id in request_load.shared_ids() {
            self.release(id);
        }
        if is_response || self.waiting == 0 {
            self.record_response(now);
        }
    }

    fn stop_waiting(&mut self, request_load: &RequestLoad) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(request_load.prefill_tokens));
    }

    fn release(&mut self, id: u64) {
        let Some((users, tokens)) = self.shared_segments.get_mut(&id) else { return };
        *users -= 1;
        if *users == 0 {
            self.shared_tokens = self.shared_tokens.saturating_sub(u64::from(*tokens));
            self.shared_segments.remove(&id);
        }
    }

    fn record_response(&mut self, now: Duration) {
        self.no_response_since = (self.waiting > 0).then_some(now);
    }

    /// Returns how long requests have waited without any response of the server.
    fn time_without_response(&self, now: Duration) -> Duration {
        self.no_response_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether requests have waited without a response for longer than the usual speed of the service
    /// explains.
    pub(crate) fn is_unresponsive(&self, now: Duration, rate: &ServiceRate) -> bool {
        self.time_without_response(now) > rate.response_timeout(self.total(now).waiting_tokens)
    }

    /// Returns the number of requests that wait for the server if it is unresponsive, otherwise 0.
    pub(crate) fn unanswered_requests(&self, now: Duration, rate: &ServiceRate) -> f64 {
        if self.is_unresponsive(now, rate) {
            return f64::from(self.waiting);
        }
        0.0
    }

    /// Returns the number of requests of this proxy in flight.
    pub(crate) fn own_requests(&self) -> u32 {
        self.running + self.waiting
    }

    /// Returns the counts of this proxy to be reported, and stores them for the next [`Load::set_total`].
    pub(crate) fn report(&mut self, server: u64, failures: f64) -> ServerLoad {
        let load = ServerLoad {
            server,
            running: self.running,
            waiting: self.waiting,
            prompt_tokens: u32::try_from(self.waiting_tokens).unwrap_or(u32::MAX),
            failures: failures.round() as u32,
        };
        self.own_reported = LoadCounts::from_report(&load);
        load
    }

    /// Sets the sum of the reported loads of all proxies including this one; `None` if there is no load.
    pub(crate) fn set_total(&mut self, now: Duration, total: Option<&ServerLoad>) {
        let total = total.map(LoadCounts::from_report).unwrap_or_default();
        self.others = total.scaled_difference(&self.own_reported, 1.0);
        self.others_updated_at = now;
    }

    /// Returns the load of the other proxies.
    pub(crate) fn others(&self, now: Duration) -> LoadCounts {
        let age = now.saturating_sub(self.others_updated_at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        self.others.scaled_difference(&LoadCounts::default(), (2.0 - age).clamp(0.0, 1.0))
    }

    /// Returns the load of all proxies.
    pub(crate) fn total(&self, now: Duration) -> LoadCounts {
        let others = self.others(now);
        LoadCounts {
            running: others.running + f64::from(self.running),
            waiting: others.waiting + f64::from(self.waiting),
            waiting_tokens: others.waiting_tokens + self.waiting_tokens as f64,
            failures: others.failures,
        }
    }

    /// Returns the number of tokens in the server's memory that cannot be evicted, if each request of another
    /// proxy needs `mean_private_tokens`.
    pub(crate) fn used_memory_tokens(&self, now: Duration, mean_private_tokens: f64) -> f64 {
        let others = self.others(now).requests() * mean_private_tokens;
        self.private_tokens as f64 + self.shared_tokens as f64 + others
    }
}
