//! The speed of servers, from the times to the first byte.

use super::prefill_time::PrefillTime;
use std::time::Duration;

/// The weight of one response in a mean.
const GAIN: f64 = 0.15;
/// The least number of responses for a mean.
const MIN_SAMPLES: u32 = 5;
/// The half-life of slowness, so that a slow server is tried again.
const HALVING_SECONDS: f64 = 10.0;
/// The work of a request besides its prompt, in tokens.
const BASE_TOKENS: f64 = 400.0;
/// The initial time per token, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.05;
/// A server may be dead if it has not responded to a waiting request for this multiple of the mean time to the first
/// byte, and for at least this time.
const TIMEOUT_FACTOR: u32 = 4;
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
/// The same, in multiples of the time to prefill the queued prompts.
const PREFILL_FACTOR: u32 = 2;
/// The initial time of a request.
const INITIAL_DURATION: Duration = Duration::from_millis(300);

/// The time over which sends are counted.
const EVENT_RATE_WINDOW: Duration = Duration::from_secs(2);

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weights.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }

    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    fn reliable(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}

/// The time per token of work at a server, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    mean: Mean,
    updated: Duration,
}

impl Speed {
    /// Returns the ratio to the service's median.
    pub(crate) fn slowness(&self, now: Duration, median: Option<f64>) -> f64 {
        let (Some(own), Some(median)) = (self.mean.reliable(), median) else { return 1.0 };
        if median <= 0.0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.updated).as_secs_f64();
        1.0 + (own / median - 1.0) * 0.5_f64.powf(age / HALVING_SECONDS)
    }

    /// Returns the mean, once there are enough samples.
    pub(crate) fn reliable(&self) -> Option<f64> {
        self.mean.reliable()
    }

    pub(crate) fn add(&mut self, now: Duration, ms_per_token: f64) {
        self.mean.add(ms_per_token);
        self.updated = now;
    }
}

/// The recent rate of an event, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    count: f64,
    updated: Duration,
}

impl EventRate {
    fn count_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.count * (-age / EVENT_RATE_WINDOW.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Duration) {
        self.count = self.count_at(now) + 1.0;
        self.updated = now;
    }

    fn per_second(&self, now: Duration) -> f64 {
        self.count_at(now) / EVENT_RATE_WINDOW.as_secs_f64()
    }
}

/// The times of the requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    /// The requests that this proxy sends.
    sends: EventRate,
    /// The least time to the first byte by distance, in milliseconds. Their differences are the network latencies.
    floors: [Option<f64>; 3],
    /// Milliseconds per token of work.
    token_ms: Mean,
    /// The time to the first byte, without the network latency.
    pub(crate) prefill: PrefillTime,
    /// Milliseconds to the first byte.
    first_byte_ms: Mean,
    /// Milliseconds from the send to the end of the response.
    duration_ms: Mean,
    /// Tokens of a server's memory that a request alone needs.
    private_tokens: Mean,
}

impl ServiceRate {
    /// Records the time to a first byte. Returns the milliseconds per token of work, without the network latency.
    pub(crate) fn record_first_byte(&mut self, time: Duration, distance: usize, work_tokens: f64) -> f64 {
        let milliseconds = time.as_secs_f64() * 1e3;
        let floor = self.floors[distance].get_or_insert(milliseconds);
        *floor = floor.min(milliseconds);
        let extra_latency = *floor - self.floors.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        let at_server = (milliseconds - extra_latency).max(0.0);
        let per_token = at_server / (BASE_TOKENS + work_tokens);
        self.prefill.record(work_tokens, at_server);
        self.first_byte_ms.add(milliseconds);
        self.token_ms.add(per_token);
        per_token
    }

    pub(crate) fn record_end(&mut self, time: Duration) {
        self.duration_ms.add(time.as_secs_f64() * 1e3);
    }

    pub(crate) fn record_begin(&mut self, now: Duration, private_tokens: u32) {
        self.sends.record(now);
        self.private_tokens.add(f64::from(private_tokens));
    }

    /// Returns the requests that this proxy sends, per second.
    pub(crate) fn sends_per_second(&self, now: Duration) -> f64 {
        self.sends.per_second(now)
    }

    /// Milliseconds per token of work.
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms.get().unwrap_or(INITIAL_TOKEN_MS)
    }

    /// Returns how long a server may not respond while a request waits, with this many tokens queued.
    pub(crate) fn response_timeout(&self, waiting_tokens: f64) -> Duration {
        let reading = Duration::from_secs_f64(waiting_tokens * self.token_ms() / 1e3);
        (mean_time(&self.first_byte_ms) * TIMEOUT_FACTOR).max(MIN_TIMEOUT) + reading * PREFILL_FACTOR
    }

    /// Returns the mean time from the send to the end of the response.
    pub(crate) fn mean_duration(&self) -> Duration {
        mean_time(&self.duration_ms)
    }

    /// Returns the mean tokens that a request alone needs.
    pub(crate) fn private_tokens(&self) -> f64 {
        self.private_tokens.get().unwrap_or(0.0)
    }
}

fn mean_time(milliseconds: &Mean) -> Duration {
    milliseconds.get().map_or(INITIAL_DURATION, |mean| Duration::from_secs_f64(mean.max(0.0) / 1e3))
}

/// Returns the median, the lower one of two in the middle.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
