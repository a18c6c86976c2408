//! Service discovery: polls the platform's list of servers.
//!
//! [`ListReader`] schedules the page requests and validates the results, [`Fetcher`] performs the requests in
//! its own thread, [`page`] parses pages, and [`PublishedServers`](published_servers::PublishedServers)
//! computes the changes to publish.

pub mod fetcher;
pub mod page;
pub mod published_servers;
pub mod reader;

use fetcher::{Fetched, Fetcher};
use page::Reading;
use quillpulley_settings::Platform;
use reader::{Fetch, ListReader, ReaderAction, ReaderOptions};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between the starts of two readings of the list, if the platform's rate limit allows it.
const READING_INTERVAL: Duration = Duration::from_millis(400);

/// Reads the platform's list repeatedly while this process is the leader.
pub struct ServiceDiscovery {
    reader: ListReader,
    fetcher: Fetcher,
    /// Where the list is read; `None` if no list is configured.
    platform: Option<SocketAddr>,
    /// The number of entries of the last complete reading that could not be parsed.
    unreadable_entries: usize,
}

impl ServiceDiscovery {
    /// Creates a reader of the list of a platform; `None` if no list is configured.
    pub fn new(fetcher: Fetcher, platform: Option<&Platform>) -> Self {
        let reader = ListReader::new(reader_options(platform));
        let platform = platform.map(|platform| platform.address);
        ServiceDiscovery { reader, fetcher, platform, unreadable_entries: 0 }
    }

    /// Reads the list of another platform, or at another rate, from now on. A reading that is in progress is
    /// discarded if the list has moved.
    pub fn set_platform(&mut self, now: Duration, platform: Option<&Platform>) {
        self.reader.set_options(reader_options(platform));
        let address = platform.map(|platform| platform.address);
        if address != self.platform {
            self.platform = address;
            self.reader.reset(now);
        }
    }

    /// Discards the reading in progress and starts a new one, as this process has become the leader.
    pub fn reset(&mut self, now: Duration) {
        self.reader.reset(now);
    }

    /// Fetches the first page if a reading is due.
    pub fn tick(&mut self, now: Duration, is_leader: bool) {
        if self.platform.is_some() {
            let due = self.reader.tick(now, is_leader);
            self.fetch(due);
        }
    }

    /// Handles a fetched page or the failure to fetch it. Returns the reading if this completes it.
    /// `published` is the number of published servers.
    pub fn handle_page(
        &mut self,
        now: Duration,
        is_leader: bool,
        published: usize,
        fetched: Fetched,
    ) -> Option<Reading> {
        match self.reader.handle_page(now, is_leader, published, fetched) {
            ReaderAction::Nothing => {}
            ReaderAction::Fetch(fetch) => self.fetch(Some(fetch)),
            ReaderAction::Complete(reading) => {
                self.log_unreadable(&reading);
                return Some(reading);
            }
            ReaderAction::Failed { error, first: true } => {
                log::warn!(error:% = error; "failed to read the platform's list of servers")
            }
            ReaderAction::Failed { error, first: false } => {
                log::debug!(error:% = error; "failed again to read the platform's list of servers");
            }
        }
        None
    }

    fn fetch(&mut self, fetch: Option<Fetch>) {
        if let (Some(platform), Some(fetch)) = (self.platform, fetch) {
            self.fetcher.fetch(platform, fetch);
        }
    }

    fn log_unreadable(&mut self, reading: &Reading) {
        let unreadable = &reading.unreadable;
        if unreadable.len() != self.unreadable_entries {
            self.unreadable_entries = unreadable.len();
            log::warn!(entries:? = unreadable; "skipping entries of the platform's list that cannot be parsed");
        }
    }
}

fn reader_options(platform: Option<&Platform>) -> ReaderOptions {
    let rate_per_s = platform.map_or(0.0, |platform| platform.rate_per_s);
    ReaderOptions { interval: READING_INTERVAL, rate_per_s }
}
