//! What a request needs of a server.

use std::time::Duration;

/// A part of a prompt. Requests whose prompts begin with the same parts can share what a server has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// How long it is.
    pub tokens: u32,
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that it is for.
    pub service: &'a str,
    /// The only regions in which it may be served; none for any.
    pub homes: &'a [String],
    /// The parts of its prompt in order, the last of which is its own or its session's.
    pub prefix: &'a [PromptPart],
    /// The length of its prompt.
    pub prompt_tokens: u32,
    /// The most tokens of its response.
    pub output_tokens: u32,
    /// The length of its body.
    pub body_bytes: usize,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The time from its arrival within which a response earns its full value.
    pub objective: Duration,
    /// The time until its client gives it up.
    pub time_remaining: Duration,
    /// Whether its route asks for affinity.
    pub sticky: bool,
}

impl<'a> Demand<'a> {
    /// Returns the parts that other requests share.
    pub(crate) fn shared(&self) -> &'a [PromptPart] {
        match self.prefix.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Tokens of the parts that other requests share.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.shared().iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Tokens that a server holds for this request alone while it runs.
    pub(crate) fn private_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens()).saturating_add(self.output_tokens)
    }

    /// Returns whether it may be served in a region.
    pub(crate) fn may_go_to(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.iter().any(|home| home == region)
    }
}
