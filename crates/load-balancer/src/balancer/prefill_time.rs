//! A model of the time from a request to the first byte of its response, as a function of the tokens to
//! prefill.
//!
//! The model is linear: a base time plus a time per token. Both are fitted to the responses that this proxy
//! has received, by least squares. The weights decay with each response, so that the model follows a change
//! of speed. A prior of two assumed responses keeps the model plausible as long as no response, or only
//! prompts of one length, have been observed.

/// The factor on the weights of all earlier responses when a response is recorded.
const DECAY: f64 = 0.98;
/// The prior: a base time, a time per token, and the lengths in tokens of two assumed prompts that take
/// exactly these times.
const PRIOR_BASE_MS: f64 = 20.0;
const PRIOR_TOKEN_MS: f64 = 0.03;
const PRIOR_TOKENS: [f64; 2] = [0.0, 4_000.0];
/// The weight of each assumed prompt. It does not decay.
const PRIOR_WEIGHT: f64 = 1.0;
/// The minimum time per token, because long prompts must always be expected to take longer.
const MIN_TOKEN_MS: f64 = 0.002;

/// The time to the first byte as a linear function of the tokens to prefill.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTime {
    base_ms: f64,
    token_ms: f64,
    sums: Sums,
}

/// The weighted sums of the least-squares fit, over responses with a number of tokens and a time in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_times_ms: f64,
}

impl Sums {
    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_times_ms += weight * tokens * ms;
    }

    fn decay(&mut self) {
        self.weight *= DECAY;
        self.tokens *= DECAY;
        self.ms *= DECAY;
        self.tokens_squared *= DECAY;
        self.tokens_times_ms *= DECAY;
    }

    /// Returns the base time and the time per token of the best fit, in milliseconds.
    fn fit(&self) -> (f64, f64) {
        let variance = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.weight * self.tokens_times_ms - self.tokens * self.ms;
        let token_ms = (covariance / variance.max(f64::EPSILON)).max(MIN_TOKEN_MS);
        let base_ms = ((self.ms - token_ms * self.tokens) / self.weight).max(0.0);
        (base_ms, token_ms)
    }
}

impl Default for PrefillTime {
    fn default() -> Self {
        PrefillTime { base_ms: PRIOR_BASE_MS, token_ms: PRIOR_TOKEN_MS, sums: Sums::default() }
    }
}

impl PrefillTime {
    /// Records a response whose first byte came `ms` milliseconds after the request, and for which the server
    /// had to prefill `tokens` tokens.
    pub fn record(&mut self, tokens: f64, ms: f64) {
        self.sums.decay();
        self.sums.add(tokens, ms, 1.0);
        let mut with_prior = self.sums;
        for tokens in PRIOR_TOKENS {
            with_prior.add(tokens, PRIOR_BASE_MS + PRIOR_TOKEN_MS * tokens, PRIOR_WEIGHT);
        }
        (self.base_ms, self.token_ms) = with_prior.fit();
    }

    /// Returns the expected time to the first byte in milliseconds, with `tokens` tokens to prefill.
    pub fn first_byte_ms(&self, tokens: f64) -> f64 {
        self.base_ms + self.token_ms * tokens
    }

    /// Returns the number of tokens to prefill for which the first byte is expected after `ms` milliseconds;
    /// negative if the base time alone is longer.
    pub fn tokens_within(&self, ms: f64) -> f64 {
        (ms - self.base_ms) / self.token_ms
    }
}
