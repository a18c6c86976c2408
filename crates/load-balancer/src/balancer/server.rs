//! The state of a server.

use super::outlier_detection::{FailureCounts, Health};
use super::server_load::Load;
use super::service_rate::Speed;
use super::slow_start::RecentSends;
use quillpulley_protocol as protocol;
use quillpulley_protocol::Locality;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a server gets no requests after it has rejected one because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// The weight in the failure rate of a failure that another proxy has reported.
const OTHER_PROXY_FAILURE_WEIGHT: f64 = 0.5;
/// The number of successful requests that the failure rate assumes in addition, so that one failure among a
/// few requests has little effect.
const PRIOR_REQUESTS: f64 = 2.0;

/// Returns the hash that identifies a server in load reports.
pub fn server_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A server in the published list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// The identifier, which is new for every start of a server.
    pub id: String,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The zone and region of the server.
    pub locality: Locality,
    /// The maximum number of requests that the server executes at the same time; 0 if the list does not state
    /// it.
    pub slots: u32,
}

/// Whether the list allows requests to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListingState {
    /// The server accepts requests.
    Ready,
    /// The server is draining, or will be removed at short notice.
    Draining,
    /// Another server has responded at the listed address.
    Misdirected,
}

/// An event that changes the [`ListingState`] of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListingEvent {
    /// The list has a new entry of the server.
    Listed { is_draining: bool },
    /// A request reached another server.
    Misdirected,
}

impl ListingState {
    fn next(self, event: ListingEvent) -> ListingState {
        match (self, event) {
            (_, ListingEvent::Listed { is_draining: true }) => ListingState::Draining,
            (_, ListingEvent::Listed { is_draining: false }) => ListingState::Ready,
            (_, ListingEvent::Misdirected) => ListingState::Misdirected,
        }
    }
}

/// The distance between two localities, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    pub(crate) fn between(one: &Locality, other: &Locality) -> Self {
        if one.zone == other.zone {
            Distance::SameZone
        } else if one.region == other.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// When the warm-up of a server ends. The list trails reality, so its entries end no warm-up that was observed
/// otherwise, though they may tell of a longer one.
#[derive(Clone, Copy, Debug, Default)]
struct Warmup {
    /// The end by the latest entry of the list.
    listed_until: Duration,
    /// The end by what the server has reported or is assumed to have undergone.
    observed_until: Duration,
    /// When the server was last assumed to have become cold.
    assumed_at: Duration,
}

impl Warmup {
    fn end(self) -> Duration {
        self.listed_until.max(self.observed_until)
    }
}

/// A listed server and its state.
pub(crate) struct Server {
    pub(crate) info: ServerInfo,
    pub(crate) hash: u64,
    pub(crate) distance: Distance,
    /// The latest entry in the list.
    entry: protocol::Server,
    listing: ListingState,
    pub(crate) is_evacuated: bool,
    warmup: Warmup,
    /// Until when the server gets no requests because it has rejected one as full.
    full_until: Duration,
    /// Whether this proxy may send requests to the server while it is cold.
    pub(crate) is_slow_start_sender: bool,
    pub(crate) recent_sends: RecentSends,
    pub(crate) load: Load,
    pub(crate) health: Health,
    pub(crate) failures: FailureCounts,
    pub(crate) speed: Speed,
}

impl Server {
    pub(crate) fn new(now: Duration, info: ServerInfo, distance: Distance, entry: &protocol::Server) -> Self {
        let mut server = Server {
            hash: server_hash(&info.id),
            info,
            distance,
            entry: entry.clone(),
            listing: ListingState::Ready,
            is_evacuated: false,
            warmup: Warmup::default(),
            full_until: Duration::ZERO,
            is_slow_start_sender: false,
            recent_sends: RecentSends::default(),
            load: Load::default(),
            health: Health::new(),
            failures: FailureCounts::default(),
            speed: Speed::default(),
        };
        server.apply_entry(now, entry);
        server
    }

    /// Applies an entry of the list. An unchanged entry, as after a resynchronization, has no effect.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        info: ServerInfo,
        distance: Distance,
        entry: &protocol::Server,
    ) {
        if *entry == self.entry {
            return;
        }
        self.info = info;
        self.distance = distance;
        self.apply_entry(now, entry);
        self.entry = entry.clone();
    }

    fn apply_entry(&mut self, now: Duration, entry: &protocol::Server) {
        let is_draining = entry.state == protocol::ServerState::Draining || entry.has_time_remaining;
        self.listing = self.listing.next(ListingEvent::Listed { is_draining });
        self.warmup.listed_until = now + Duration::from_millis(u64::from(entry.warmup_remaining_ms));
    }

    /// Sets the remaining warm-up time that the server itself reports; it was asked at `asked_at`. The list trails, so its
    /// latest entry is older. The report may be older than an assumption that was made since, which it does not shorten.
    pub(crate) fn set_warmup_remaining(&mut self, now: Duration, asked_at: Duration, remaining: Duration) {
        let reported_until = now + remaining;
        if self.warmup.assumed_at > asked_at {
            self.warmup.observed_until = self.warmup.observed_until.max(reported_until);
            return;
        }
        self.warmup.listed_until = now;
        self.warmup.observed_until = reported_until;
    }

    /// Treats the server as cold for at least the time `remaining`, because it may have become cold
    /// unnoticed.
    pub(crate) fn assume_warming(&mut self, now: Duration, remaining: Duration) {
        self.warmup.observed_until = self.warmup.observed_until.max(now + remaining);
        self.warmup.assumed_at = now;
    }

    pub(crate) fn set_misdirected(&mut self) {
        self.listing = self.listing.next(ListingEvent::Misdirected);
    }

    pub(crate) fn set_full(&mut self, now: Duration) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Returns the recent failure rate over all proxies, in which failures at other proxies have a lower
    /// weight.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let (failures, requests) = self.failures.decayed_counts(now);
        let other_failures = self.load.others(now).failures * OTHER_PROXY_FAILURE_WEIGHT;
        (failures + other_failures) / (requests + other_failures + PRIOR_REQUESTS)
    }

    /// Returns whether the list and the evacuations allow requests to the server.
    pub(crate) fn is_usable(&self) -> bool {
        self.listing == ListingState::Ready && !self.is_evacuated
    }

    pub(crate) fn is_warming(&self, now: Duration) -> bool {
        now < self.warmup.end()
    }

    pub(crate) fn reports_full(&self, now: Duration) -> bool {
        now < self.full_until
    }
}
