//! The directory: tells clients which proxies to go to, from a snapshot that needs no other thread.

use super::http::{self, Handler, JsonAnswer};
use crate::HostError;
use quillpulley_load_balancer::{HomeTable, HostHomes, ServedIn};
use quillpulley_protocol::{EndpointState, ProxyEndpoint};
use simd_json::prelude::Writable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, PoisonError, RwLock};
use tiny_http::{Method, Request};

/// The most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// With fewer ready fronts in the client's zone, those of its region are added.
const ENOUGH_IN_ZONE: usize = 2;
/// How long clients may keep an answer, in seconds, unless the deployment allows less.
const TIME_TO_LIVE_S: f64 = 2.0;
const RETRY_AFTER_S: &str = "0.2";
const THREADS: usize = 2;

/// Where a client is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Which fronts are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Coverage {
    /// Too few to tell any: the process has just started.
    #[default]
    TooFew,
    /// All that were reported since the start or the latest election, which others may still be.
    Settling,
    /// All of the system.
    All,
    /// Those that report to this process, which is out of touch with the primary.
    OwnReports,
}

/// The fronts that are known, as the directory tells them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    /// The known fronts.
    pub endpoints: Vec<ProxyEndpoint>,
    /// Which these are.
    pub coverage: Coverage,
    /// Where the requests of each host may be served.
    pub homes: Arc<HomeTable>,
}

impl Directory {
    /// The addresses for a client of `host` at `place`; empty if it should ask elsewhere.
    pub fn choose(&self, host: &str, place: &Place) -> Vec<String> {
        if self.coverage == Coverage::TooFew {
            return Vec::new();
        }
        let mut chosen = Candidates { directory: self, homes: self.homes.of(host), place }.choose();
        if chosen.len() > MAX_ADDRESSES {
            fastrand::shuffle(&mut chosen);
            chosen.truncate(MAX_ADDRESSES);
        }
        chosen.into_iter().map(|endpoint| endpoint.address.clone()).collect()
    }
}

/// The fronts among which is chosen for a client. Requests with homes are kept out of regions that are neither a
/// home nor the client's: it is sent to another region only if that is a home of every route of its host that has
/// homes, or if no front is known in such a region or in its own.
struct Candidates<'a> {
    directory: &'a Directory,
    homes: &'a HostHomes,
    place: &'a Place,
}

impl<'a> Candidates<'a> {
    fn choose(&self) -> Vec<&'a ProxyEndpoint> {
        let elsewhere = self.elsewhere();
        if !elsewhere.is_empty() || self.are_others_better_asked() {
            return elsewhere;
        }
        let steps = [
            Self::ready_in_zone,
            Self::ready_in_region,
            Self::ready_in_common_homes,
            Self::others_in_region_or_homes,
            Self::anywhere,
        ];
        let mut chosen = steps.into_iter().map(|step| step(self));
        chosen.find(|endpoints| !endpoints.is_empty()).unwrap_or_default()
    }

    /// Those of other regions where the client is served better.
    fn elsewhere(&self) -> Vec<&'a ProxyEndpoint> {
        match self.homes.served_in(&self.place.region) {
            ServedIn::All => Vec::new(),
            ServedIn::None => self.ready(|endpoint| !self.is_near(endpoint) && self.is_common_home(endpoint)),
            ServedIn::Some => {
                let preferred = self.preferred_regions();
                self.ready(|endpoint| preferred.contains(endpoint.region.as_str()))
            }
        }
    }

    /// Whether the client is served better in regions of which this process, cut off from the primary, does not
    /// hear. The fronts here are cut off from the servers there as well.
    fn are_others_better_asked(&self) -> bool {
        self.directory.coverage == Coverage::OwnReports
            && match self.homes.served_in(&self.place.region) {
                ServedIn::All => false,
                ServedIn::None => true,
                ServedIn::Some => !self.preferred_regions().is_empty(),
            }
    }

    fn preferred_regions(&self) -> BTreeSet<&'a str> {
        let mut preferred = preferred_regions(&self.ready_in_region());
        preferred.retain(|region| self.homes.is_common_home(region));
        preferred
    }

    /// None with too few to share the load.
    fn ready_in_zone(&self) -> Vec<&'a ProxyEndpoint> {
        let in_zone = self.ready(|endpoint| endpoint.zone == self.place.zone);
        if in_zone.len() < ENOUGH_IN_ZONE {
            return Vec::new();
        }
        in_zone
    }

    fn ready_in_region(&self) -> Vec<&'a ProxyEndpoint> {
        self.ready(|endpoint| self.is_near(endpoint))
    }

    fn ready_in_common_homes(&self) -> Vec<&'a ProxyEndpoint> {
        self.ready(|endpoint| self.is_common_home(endpoint))
    }

    /// Those that start or leave: they serve, or refuse at once.
    fn others_in_region_or_homes(&self) -> Vec<&'a ProxyEndpoint> {
        let endpoints = self.directory.endpoints.iter();
        endpoints.filter(|endpoint| self.is_near(endpoint) || self.is_common_home(endpoint)).collect()
    }

    fn anywhere(&self) -> Vec<&'a ProxyEndpoint> {
        if self.directory.coverage != Coverage::All {
            return Vec::new();
        }
        let ready = self.ready(|_| true);
        if ready.is_empty() {
            return self.directory.endpoints.iter().collect();
        }
        ready
    }

    fn ready(&self, is_wanted: impl Fn(&ProxyEndpoint) -> bool) -> Vec<&'a ProxyEndpoint> {
        let ready = self.directory.endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Ready);
        ready.filter(|endpoint| is_wanted(endpoint)).collect()
    }

    fn is_near(&self, endpoint: &ProxyEndpoint) -> bool {
        endpoint.zone == self.place.zone || endpoint.region == self.place.region
    }

    fn is_common_home(&self, endpoint: &ProxyEndpoint) -> bool {
        self.homes.is_common_home(&endpoint.region)
    }
}

/// The regions that at least half of these fronts prefer over their own.
fn preferred_regions<'a>(endpoints: &[&'a ProxyEndpoint]) -> BTreeSet<&'a str> {
    let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
    for endpoint in endpoints {
        for region in &endpoint.preferred_regions {
            *votes.entry(region).or_default() += 1;
        }
    }
    votes.retain(|_, count| *count * 2 >= endpoints.len());
    votes.into_keys().collect()
}

/// The snapshot that the main thread writes and the directory's threads read.
#[derive(Clone, Default)]
pub struct DirectoryBoard(Arc<RwLock<Arc<Directory>>>);

impl DirectoryBoard {
    /// Puts up a new snapshot.
    pub fn set(&self, directory: Directory) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(directory);
    }

    /// The newest snapshot.
    pub fn get(&self) -> Arc<Directory> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves the directory on `listener`. `ttl_max_s` is the longest that clients keep an answer, in seconds.
///
/// # Errors
/// [`HostError::Runtime`] if the threads cannot be started.
pub fn serve(listener: TcpListener, board: DirectoryBoard, ttl_max_s: f64) -> Result<(), HostError> {
    let time_to_live_s = TIME_TO_LIVE_S.min(ttl_max_s);
    let handler: Handler = Arc::new(move |request| answer(request, &board, time_to_live_s));
    http::serve(listener, THREADS, handler)
}

fn answer(request: Request, board: &DirectoryBoard, time_to_live_s: f64) {
    let answer = match (request.method(), http::path(request.url())) {
        (Method::Get, "/v1/resolve") => resolve(request.url(), board, time_to_live_s),
        (_, "/v1/resolve") => JsonAnswer::new(405, b"{}".to_vec()),
        _ => JsonAnswer::new(404, b"{}".to_vec()),
    };
    http::respond(request, answer);
}

fn resolve(url: &str, board: &DirectoryBoard, time_to_live_s: f64) -> JsonAnswer {
    let parameter = |name| http::query_parameter(url, name).unwrap_or_default();
    let place = Place { zone: parameter("Zone"), region: parameter("Region") };
    let addresses = board.get().choose(&parameter("Name"), &place);
    if addresses.is_empty() {
        return JsonAnswer::new(503, b"{}".to_vec()).with_header("Retry-After", RETRY_AFTER_S);
    }
    let body = simd_json::json!({ "Addresses": addresses, "TtlS": time_to_live_s });
    JsonAnswer::new(200, body.encode().into_bytes())
}
