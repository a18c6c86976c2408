//! Service discovery: the servers on the platform's list.
//!
//! [`ListReader`] decides when which page is fetched and which readings are believed, [`Fetcher`] fetches in a thread
//! of its own, [`page`] parses, and [`PublishedServers`](published_servers::PublishedServers) finds out what has
//! changed.

pub mod fetcher;
pub mod page;
pub mod published_servers;
pub mod reader;

use fetcher::{Fetched, Fetcher};
use page::Reading;
use reader::{Fetch, ListReader, Outcome, ReaderOptions};
use std::time::Duration;

/// The interval between readings of the list, if the platform's rate allows it.
const READING_INTERVAL: Duration = Duration::from_millis(400);

/// Reads the platform's list while this process leads.
pub struct ServiceDiscovery {
    reader: ListReader,
    /// The thread that fetches; none without a list.
    fetcher: Option<Fetcher>,
    /// How many entries of the last reading could not be parsed.
    unreadable_entries: usize,
}

impl ServiceDiscovery {
    /// Creates a reader of a list that accepts `rate_per_s` calls a second from all machines together.
    pub fn new(fetcher: Option<Fetcher>, rate_per_s: f64) -> Self {
        let reader = ListReader::new(ReaderOptions { interval: READING_INTERVAL, rate_per_s });
        ServiceDiscovery { reader, fetcher, unreadable_entries: 0 }
    }

    /// Begins again, since this process has begun to lead.
    pub fn reset(&mut self, now: Duration) {
        self.reader.reset(now);
    }

    /// Fetches the page that is due.
    pub fn tick(&mut self, now: Duration, is_leader: bool) {
        if self.fetcher.is_some() {
            let due = self.reader.tick(now, is_leader);
            self.fetch(due);
        }
    }

    /// Handles a page, or the failure to get one. Returns a complete reading. `published` is the number of servers that
    /// are published.
    pub fn handle_page(
        &mut self,
        now: Duration,
        is_leader: bool,
        published: usize,
        fetched: Fetched,
    ) -> Option<Reading> {
        match self.reader.handle_page(now, is_leader, published, fetched) {
            Outcome::Nothing => {}
            Outcome::Fetch(fetch) => self.fetch(Some(fetch)),
            Outcome::Complete(reading) => {
                self.log_unreadable(&reading);
                return Some(reading);
            }
            Outcome::Failed { error, first: true } => {
                log::warn!(error:% = error; "reading the platform's list failed")
            }
            Outcome::Failed { error, first: false } => {
                log::debug!(error:% = error; "reading the platform's list failed again");
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
            log::warn!(entries:? = unreadable; "entries of the platform's list are skipped");
        }
    }
}
