//! The resources that a request needs, and the constraints on where it may be served.

use std::time::Duration;

/// A segment of a prompt. Requests whose prompts begin with the same segments can share a server's cached
/// prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The identifier of the segment.
    pub id: u64,
    /// The length of the segment in tokens.
    pub tokens: u32,
}

/// The resources that a request needs from a server, and the constraints on where it may be served.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The name of the service that must serve the request.
    pub service: &'a str,
    /// The home regions: the only regions in which the request may be served. Any region if empty.
    pub home_regions: &'a [String],
    /// The segments of the prompt in order. All but the last are shared with other requests; the last one
    /// belongs to this request or its session alone.
    pub segments: &'a [PromptSegment],
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response.
    pub output_tokens: u32,
    /// The length of the body in bytes.
    pub body_bytes: usize,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// The target latency of the response.
    pub target_latency: Duration,
    /// The time until the client's timeout expires.
    pub time_remaining: Duration,
    /// Whether requests with the same shared segments should prefer the same servers.
    pub sticky: bool,
}

impl<'a> Demand<'a> {
    /// Returns the segments that are shared with other requests.
    pub(crate) fn shared_segments(&self) -> &'a [PromptSegment] {
        match self.segments.split_last() {
            Some((_own, shared_segments)) => shared_segments,
            None => &[],
        }
    }

    /// Returns the number of tokens in the segments that are shared with other requests.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.shared_segments().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Returns the number of tokens that a server keeps in memory for this request alone while it executes.
    pub(crate) fn private_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens()).saturating_add(self.output_tokens)
    }

    /// Returns whether the request may be served in `region`.
    pub(crate) fn may_be_served_in(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}
