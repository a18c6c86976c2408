//! The demand of a request on a server.

use std::time::Duration;

/// A segment of a prompt. Requests whose prompts begin with the same segments can share what a server has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The id of the segment.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The demand of a request on a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service of the request.
    pub service: &'a str,
    /// The only regions in which the request may be served; none for any.
    pub homes: &'a [String],
    /// The segments of the prompt in order. The last one belongs to the request or its session alone.
    pub segments: &'a [PromptSegment],
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The most tokens of the response.
    pub output_tokens: u32,
    /// The length of the body in bytes.
    pub body_bytes: usize,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The target latency of the response.
    pub objective: Duration,
    /// The time until the client gives up.
    pub time_remaining: Duration,
    /// Whether the route asks for affinity.
    pub sticky: bool,
}

impl<'a> Demand<'a> {
    /// Returns the segments that other requests share.
    pub(crate) fn shared(&self) -> &'a [PromptSegment] {
        match self.segments.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the tokens of the segments that other requests share.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.shared().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Returns the tokens that a server holds for this request alone while it executes.
    pub(crate) fn private_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens()).saturating_add(self.output_tokens)
    }

    /// Returns whether the request may be served in a region.
    pub(crate) fn may_go_to(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.iter().any(|home| home == region)
    }
}
