//! The speed of servers and services, measured by the time to the first byte.

use super::prefill_time::PrefillTime;
use std::time::Duration;

/// The weight of a new sample in an exponentially weighted mean.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The minimum number of samples for a reliable mean.
const MIN_SAMPLES: u32 = 5;
/// The half-life of the measured slowness of a server, so that a slow server is tried again.
const SLOWNESS_HALF_LIFE_S: f64 = 10.0;
/// The work of a request in addition to prefilling its prompt, in tokens.
const BASE_TOKENS: f64 = 400.0;
/// The time per token, in milliseconds, that is assumed before the first response.
const INITIAL_TOKEN_MS: f64 = 0.05;
/// A server counts as unresponsive if it has not responded to waiting requests for this multiple of the mean
/// time to the first byte, but at least for the minimum time, plus an allowance for the queued prompts.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The allowance for the queued prompts, as a multiple of the time to prefill them.
const PREFILL_TIMEOUT_FACTOR: u32 = 2;
/// The time to the first byte, and the duration of a request, that are assumed before the first response.
const INITIAL_TIME: Duration = Duration::from_millis(300);

/// The time constant of the exponential decay of an event rate.
const EVENT_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

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
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * weight;
    }

    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    fn reliable(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}

/// The measured speed of a server, as the mean time per token of work in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    mean: Mean,
    updated_at: Duration,
}

impl Speed {
    /// Returns the ratio of the time per token to `median_ms`, the median of the service's servers; 1 if
    /// either is unknown. The difference from 1 decays with the age of the latest sample.
    pub(crate) fn slowness(&self, now: Duration, median_ms: Option<f64>) -> f64 {
        let (Some(own_ms), Some(median_ms)) = (self.mean.reliable(), median_ms) else { return 1.0 };
        if median_ms <= 0.0 {
            return 1.0;
        }
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        1.0 + (own_ms / median_ms - 1.0) * 0.5_f64.powf(age_s / SLOWNESS_HALF_LIFE_S)
    }

    /// Returns the mean time per token in milliseconds; `None` while there are too few samples.
    pub(crate) fn reliable(&self) -> Option<f64> {
        self.mean.reliable()
    }

    pub(crate) fn add(&mut self, now: Duration, ms_per_token: f64) {
        self.mean.add(ms_per_token);
        self.updated_at = now;
    }
}

/// The recent rate of an event, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    count: f64,
    updated_at: Duration,
}

impl EventRate {
    fn count_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / EVENT_RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Duration) {
        self.count = self.count_at(now) + 1.0;
        self.updated_at = now;
    }

    fn per_second(&self, now: Duration) -> f64 {
        self.count_at(now) / EVENT_RATE_TIME_CONSTANT.as_secs_f64()
    }
}

/// The rate and the times of the requests that this proxy sends to a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    /// The rate at which this proxy sends requests.
    sends: EventRate,
    /// The minimum time to the first byte for each `Distance`, in milliseconds. The difference from the
    /// lowest of them is taken as the network latency of a distance.
    min_first_byte_ms: [Option<f64>; 3],
    /// The time per token of work, in milliseconds.
    token_ms: Mean,
    /// The model of the time to the first byte, without the network latency.
    pub(crate) prefill: PrefillTime,
    /// The time to the first byte, in milliseconds.
    first_byte_ms: Mean,
    /// The time from sending a request to the end of its response, in milliseconds.
    duration_ms: Mean,
    /// The tokens that a server keeps in memory for one request alone.
    private_tokens: Mean,
}

impl ServiceRate {
    /// Records the time to the first byte of a response from a server that had to prefill `work_tokens`
    /// tokens before it. `distance` is the `Distance` of the server as an index. Returns the milliseconds per
    /// token of work, without the network latency.
    pub(crate) fn record_first_byte(&mut self, time: Duration, distance: usize, work_tokens: f64) -> f64 {
        let milliseconds = time.as_secs_f64() * 1e3;
        let min_ms = self.min_first_byte_ms[distance].get_or_insert(milliseconds);
        *min_ms = min_ms.min(milliseconds);
        let network_latency_ms =
            *min_ms - self.min_first_byte_ms.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        let server_ms = (milliseconds - network_latency_ms).max(0.0);
        let ms_per_token = server_ms / (BASE_TOKENS + work_tokens);
        self.prefill.record(work_tokens, server_ms);
        self.first_byte_ms.add(milliseconds);
        self.token_ms.add(ms_per_token);
        ms_per_token
    }

    pub(crate) fn record_end(&mut self, time: Duration) {
        self.duration_ms.add(time.as_secs_f64() * 1e3);
    }

    pub(crate) fn record_begin(&mut self, now: Duration, private_tokens: u32) {
        self.sends.record(now);
        self.private_tokens.add(f64::from(private_tokens));
    }

    /// Returns the number of requests per second that this proxy sends.
    pub(crate) fn sends_per_second(&self, now: Duration) -> f64 {
        self.sends.per_second(now)
    }

    /// Returns the mean time per token of work, in milliseconds.
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms.get().unwrap_or(INITIAL_TOKEN_MS)
    }

    /// Returns the time without a response after which a server with waiting requests counts as unresponsive.
    /// `waiting_tokens` are queued to be prefilled.
    pub(crate) fn response_timeout(&self, waiting_tokens: f64) -> Duration {
        let prefill_time = Duration::from_secs_f64(waiting_tokens * self.token_ms() / 1e3);
        (mean_time(&self.first_byte_ms) * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT)
            + prefill_time * PREFILL_TIMEOUT_FACTOR
    }

    /// Returns the mean time from sending a request to the end of its response.
    pub(crate) fn mean_duration(&self) -> Duration {
        mean_time(&self.duration_ms)
    }

    /// Returns the mean number of tokens that a server keeps in memory for one request alone.
    pub(crate) fn private_tokens(&self) -> f64 {
        self.private_tokens.get().unwrap_or(0.0)
    }
}

fn mean_time(milliseconds: &Mean) -> Duration {
    milliseconds.get().map_or(INITIAL_TIME, |mean| Duration::from_secs_f64(mean.max(0.0) / 1e3))
}

/// Returns the median, which is the lower of the two middle values if their number is even; `None` without
/// values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
