//! When which page of the platform's list is fetched, and which readings are believed. Pure: the host fetches.
//!
//! Only the holder of the lease reads. A reading begins again if its pages do not belong together, and one that lacks
//! more than half of the published servers has to be confirmed by a second one.

use super::page::{Page, Reading};
use displaydoc::Display;
use std::collections::BTreeSet;
use std::time::Duration;

/// The divisor of the platform's rate that the primary uses at most.
const RATE_DIVISOR: f64 = 4.0;
/// How soon an implausible reading is repeated.
const CONFIRM_AFTER: Duration = Duration::from_millis(100);
/// The longest backoff after consecutive failures.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);
/// More pages than any list has.
const MAX_PAGES: usize = 10_000;

/// Why a page was not fetched.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum FetchError {
    /// the platform asks for fewer calls: lower the rate of reading
    RateLimited,
    /// the platform answered {0}: see its own log
    Status(u16),
    /// the platform did not answer ({0}): check the network and its address in the settings file
    Failed(String),
    /// the page cannot be read: {0}
    Unreadable(String),
}

impl std::error::Error for FetchError {}

/// A page to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// The token of the page; none for the first.
    pub token: Option<String>,
}

/// How the list is read.
#[derive(Debug, Clone, Copy)]
pub struct ReaderOptions {
    /// The time between the beginnings of two readings, if the platform's rate allows it.
    pub interval: Duration,
    /// The calls a second that the platform accepts from all machines together.
    pub rate_per_s: f64,
}

enum ReaderState {
    /// The next reading begins at this time.
    RequestQueue(Duration),
    /// A page is being fetched.
    Reading(PartialReading),
    /// A page is being fetched that will not be used.
    Discarding,
}

#[derive(Default)]
struct PartialReading {
    started: Duration,
    pages: usize,
    reading: Reading,
    tokens: BTreeSet<String>,
}

/// Reads the platform's list again and again while the lease is held.
pub struct ListReader {
    options: ReaderOptions,
    state: ReaderState,
    failures: u32,
    /// The size of an implausible reading, which another one has to confirm.
    unconfirmed_size: Option<usize>,
}

impl ListReader {
    /// Creates a reader that begins at once.
    pub fn new(options: ReaderOptions) -> Self {
        ListReader {
            options,
            state: ReaderState::RequestQueue(Duration::ZERO),
            failures: 0,
            unconfirmed_size: None,
        }
    }

    /// Begins again, as after an election. A page that is being fetched will not be used.
    pub fn reset(&mut self, now: Duration) {
        self.unconfirmed_size = None;
        self.state = match self.state {
            ReaderState::Reading(_) | ReaderState::Discarding => ReaderState::Discarding,
            ReaderState::RequestQueue(_) => ReaderState::RequestQueue(now),
        };
    }

    /// Returns the page to fetch at `now`, if a reading is due. `is_leader` is whether the lease is held.
    pub fn tick(&mut self, now: Duration, is_leader: bool) -> Option<Fetch> {
        match self.state {
            ReaderState::RequestQueue(at) if is_leader && at <= now => {
                self.state =
                    ReaderState::Reading(PartialReading { started: now, ..PartialReading::default() });
                Some(Fetch { token: None })
            }
            _ => None,
        }
    }

    /// Handles the outcome of a fetch. `published` is the number of servers that are published.
    pub fn handle_page(
        &mut self,
        now: Duration,
        is_leader: bool,
        published: usize,
        outcome: Result<Page, FetchError>,
    ) -> Outcome {
        match std::mem::replace(&mut self.state, ReaderState::RequestQueue(now)) {
            ReaderState::Reading(partial) if is_leader => self.add_page(now, published, partial, outcome),
            ReaderState::Reading(_) | ReaderState::Discarding | ReaderState::RequestQueue(_) => {
                Outcome::Nothing
            }
        }
    }

    fn add_page(
        &mut self,
        now: Duration,
        published: usize,
        mut partial: PartialReading,
        outcome: Result<Page, FetchError>,
    ) -> Outcome {
        let page = match outcome {
            Ok(page) => page,
            Err(error) => return self.fail(now, error),
        };
        partial.pages += 1;
        partial.reading.servers.extend(page.servers);
        partial.reading.unreadable.extend(page.unreadable);
        match page.next_token {
            None => self.complete(now, published, partial),
            Some(token) if partial.pages < MAX_PAGES && partial.tokens.insert(token.clone()) => {
                self.state = ReaderState::Reading(partial);
                Outcome::Fetch(Fetch { token: Some(token) })
            }
            Some(token) => self.fail(now, FetchError::Unreadable(format!("page {token} comes twice"))),
        }
    }

    fn fail(&mut self, now: Duration, error: FetchError) -> Outcome {
        let backoff = self.options.interval * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.state = ReaderState::RequestQueue(now + backoff.min(LONGEST_BACKOFF));
        Outcome::Failed { error, first: self.failures == 1 }
    }

    fn complete(&mut self, now: Duration, published: usize, partial: PartialReading) -> Outcome {
        self.failures = 0;
        let size = partial.reading.servers.len() + partial.reading.unreadable.len();
        let is_implausible = size * 2 < published;
        if is_implausible && self.unconfirmed_size != Some(size) {
            self.unconfirmed_size = Some(size);
            self.state = ReaderState::RequestQueue(now + CONFIRM_AFTER);
            return Outcome::Nothing;
        }
        self.unconfirmed_size = None;
        let next = partial.started + self.interval_for(partial.pages);
        self.state = ReaderState::RequestQueue(next.max(now));
        Outcome::Complete(partial.reading)
    }

    /// Returns the interval in which reading this many pages stays within the allowed rate.
    fn interval_for(&self, pages: usize) -> Duration {
        if self.options.rate_per_s <= 0.0 {
            return self.options.interval;
        }
        let least = pages as f64 * RATE_DIVISOR / self.options.rate_per_s;
        let least = Duration::try_from_secs_f64(least).unwrap_or(Duration::MAX);
        self.options.interval.max(least)
    }
}

/// What follows from a fetch.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// Nothing before the next tick.
    Nothing,
    /// This page has to be fetched next.
    Fetch(Fetch),
    /// The list is read completely and is believed.
    Complete(Reading),
    /// The reading has failed and will be retried.
    Failed {
        /// Why.
        error: FetchError,
        /// Whether the previous reading was complete.
        first: bool,
    },
}
