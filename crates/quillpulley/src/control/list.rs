//! The reading of the platform's list: when pages are fetched, and what comes of them.

use super::fetcher::{Fetched, Fetcher};
use super::platform::Reading;
use super::reader::{Fetch, ListReader, Outcome, ReaderOptions};
use std::time::Duration;

/// How often the platform's list is read, if its rate allows it.
const READING_INTERVAL: Duration = Duration::from_millis(400);

/// The platform's list as this process reads it while it leads.
pub struct PlatformList {
    reader: ListReader,
    /// The thread that reads, if there is a list.
    fetcher: Option<Fetcher>,
    /// How many entries could not be read last time.
    unreadable_entries: usize,
}

impl PlatformList {
    /// A list that takes so many calls a second.
    pub fn new(fetcher: Option<Fetcher>, rate_per_s: f64) -> Self {
        let reader = ListReader::new(ReaderOptions { interval: READING_INTERVAL, rate_per_s });
        PlatformList { reader, fetcher, unreadable_entries: 0 }
    }

    /// This process has begun to lead.
    pub fn reset(&mut self, now: Duration) {
        self.reader.reset(now);
    }

    /// Fetches what is due.
    pub fn tick(&mut self, now: Duration, leading: bool) {
        if self.fetcher.is_some() {
            let due = self.reader.tick(now, leading);
            self.fetch(due);
        }
    }

    /// Takes a page, or the failure to get one. Returns a reading that is complete and is to be published by one
    /// that leads and has `published` so many servers.
    pub fn fetched(
        &mut self,
        now: Duration,
        leading: bool,
        published: usize,
        fetched: Fetched,
    ) -> Option<Reading> {
        match self.reader.fetched(now, leading, published, fetched) {
            Outcome::Nothing => {}
            Outcome::Fetch(fetch) => self.fetch(Some(fetch)),
            Outcome::Complete(reading) => {
                self.log_unreadable(&reading);
                return Some(reading);
            }
            Outcome::Failed { error, first: true } => log::warn!("the platform's list was not read: {error}"),
            Outcome::Failed { error, first: false } => {
                log::debug!("the platform's list was not read: {error}")
            }
        }
        None
    }

    fn fetch(&mut self, fetch: Option<Fetch>) {
        if let (Some(fetcher), Some(fetch)) = (&self.fetcher, fetch) {
            fetcher.fetch(fetch);
        }
    }

    fn log_unreadable(&mut self, reading: &Reading) {
        let unreadable = &reading.unreadable;
        if unreadable.len() != self.unreadable_entries {
            self.unreadable_entries = unreadable.len();
            log::warn!("{} entries of the platform's list are passed over: {unreadable:?}", unreadable.len());
        }
    }
}
