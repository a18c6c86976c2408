//! Schedules the requests for the platform's list and validates the results. This module performs no I/O: the
//! host fetches the pages.
//!
//! Only the node that holds the lease reads the list. A reading fails and is retried if a page token occurs
//! twice or there are too many pages. A reading that lacks more than half of the published servers is used
//! only if a second reading of the same size confirms it.

use super::page::{Page, Reading};
use displaydoc::Display;
use std::collections::BTreeSet;
use std::time::Duration;

/// The primary uses at most the platform's rate limit divided by this number.
const RATE_DIVISOR: f64 = 4.0;
/// Delay before an implausible reading is repeated.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
/// Maximum backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of pages, which exceeds that of any real list. It ends a reading whose pages never end.
const MAX_PAGES: usize = 10_000;

/// The reason why a page could not be fetched.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum FetchError {
    /// the platform limits the request rate: reduce the configured rate
    RateLimited,
    /// the platform responded with status {0}: check the platform's log
    Status(u16),
    /// the platform did not respond ({0}): check the network and the platform's address in the settings file
    Failed(String),
    /// the page cannot be read: {0}
    Unreadable(String),
}

impl std::error::Error for FetchError {}

/// A page to fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// The token of the page; `None` for the first page.
    pub token: Option<String>,
}

/// Options for reading the list.
#[derive(Debug, Clone, Copy)]
pub struct ReaderOptions {
    /// Time between the starts of two readings, if the platform's rate limit allows it.
    pub interval: Duration,
    /// Requests per second that the platform accepts from all machines together; 0 if there is no limit.
    pub rate_per_s: f64,
}

enum ReaderState {
    /// The next reading starts at this time.
    WaitingUntil(Duration),
    /// A page is being fetched.
    Reading(PartialReading),
    /// A page is being fetched whose result will be discarded.
    Discarding,
}

#[derive(Default)]
struct PartialReading {
    started_at: Duration,
    pages: usize,
    reading: Reading,
    tokens: BTreeSet<String>,
}

/// Reads the platform's list repeatedly while the lease is held.
pub struct ListReader {
    options: ReaderOptions,
    state: ReaderState,
    failures: u32,
    /// The size of an implausible reading, which a second reading has to confirm.
    unconfirmed_size: Option<usize>,
}

impl ListReader {
    /// Creates a reader that starts its first reading at the next tick.
    pub fn new(options: ReaderOptions) -> Self {
        ListReader {
            options,
            state: ReaderState::WaitingUntil(Duration::ZERO),
            failures: 0,
            unconfirmed_size: None,
        }
    }

    /// Sets the options of the readings that follow.
    pub fn set_options(&mut self, options: ReaderOptions) {
        self.options = options;
    }

    /// Starts a new reading, as after an election. The result of a page that is being fetched will be
    /// discarded.
    pub fn reset(&mut self, now: Duration) {
        self.unconfirmed_size = None;
        self.state = match self.state {
            ReaderState::Reading(_) | ReaderState::Discarding => ReaderState::Discarding,
            ReaderState::WaitingUntil(_) => ReaderState::WaitingUntil(now),
        };
    }

    /// Returns the first page to fetch if a reading is due at `now`. `is_leader` tells whether the lease is
    /// held.
    pub fn tick(&mut self, now: Duration, is_leader: bool) -> Option<Fetch> {
        match self.state {
            ReaderState::WaitingUntil(at) if is_leader && at <= now => {
                self.state =
                    ReaderState::Reading(PartialReading { started_at: now, ..PartialReading::default() });
                Some(Fetch { token: None })
            }
            _ => None,
        }
    }

    /// Handles the outcome of a fetch. `published` is the number of published servers.
    pub fn handle_page(
        &mut self,
        now: Duration,
        is_leader: bool,
        published: usize,
        outcome: Result<Page, FetchError>,
    ) -> ReaderAction {
        match std::mem::replace(&mut self.state, ReaderState::WaitingUntil(now)) {
            ReaderState::Reading(partial) if is_leader => self.add_page(now, published, partial, outcome),
            ReaderState::Reading(_) | ReaderState::Discarding | ReaderState::WaitingUntil(_) => {
                ReaderAction::Nothing
            }
        }
    }

    fn add_page(
        &mut self,
        now: Duration,
        published: usize,
        mut partial: PartialReading,
        outcome: Result<Page, FetchError>,
    ) -> ReaderAction {
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
                ReaderAction::Fetch(Fetch { token: Some(token) })
            }
            Some(token) => self
                .fail(now, FetchError::Unreadable(format!("page {token} repeats, or the list is too long"))),
        }
    }

    fn fail(&mut self, now: Duration, error: FetchError) -> ReaderAction {
        let backoff = self.options.interval * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.state = ReaderState::WaitingUntil(now + backoff.min(MAX_BACKOFF));
        ReaderAction::Failed { error, first: self.failures == 1 }
    }

    fn complete(&mut self, now: Duration, published: usize, partial: PartialReading) -> ReaderAction {
        self.failures = 0;
        let size = partial.reading.servers.len() + partial.reading.unreadable.len();
        let is_implausible = size * 2 < published;
        if is_implausible && self.unconfirmed_size != Some(size) {
            self.unconfirmed_size = Some(size);
            self.state = ReaderState::WaitingUntil(now + CONFIRMATION_DELAY);
            return ReaderAction::Nothing;
        }
        self.unconfirmed_size = None;
        let next = partial.started_at + self.interval_for(partial.pages);
        self.state = ReaderState::WaitingUntil(next.max(now));
        ReaderAction::Complete(partial.reading)
    }

    /// Returns the shortest interval at which reading this many pages stays within the allowed rate.
    fn interval_for(&self, pages: usize) -> Duration {
        if self.options.rate_per_s <= 0.0 {
            return self.options.interval;
        }
        let min_interval_s = pages as f64 * RATE_DIVISOR / self.options.rate_per_s;
        let min_interval = Duration::try_from_secs_f64(min_interval_s).unwrap_or(Duration::MAX);
        self.options.interval.max(min_interval)
    }
}

/// The action or the result that follows from a fetch.
#[derive(Debug, PartialEq)]
pub enum ReaderAction {
    /// There is nothing to do before the next tick.
    Nothing,
    /// This page has to be fetched next.
    Fetch(Fetch),
    /// The list was read completely and passed validation.
    Complete(Reading),
    /// The reading failed and will be retried.
    Failed {
        /// The cause of the failure.
        error: FetchError,
        /// Whether this is the first of consecutive failures.
        first: bool,
    },
}
