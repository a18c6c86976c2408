//! Tests of the directory: the addresses that a client gets.

use crate::api::send_raw;
use quickcheck::{Arbitrary, Gen};
use quillpulley::control::directory::{self, Coverage, Directory, DirectoryHandle};
use quillpulley_load_balancer::HomeTable;
use quillpulley_protocol::{EndpointState, ProxyEndpoint};
use quillpulley_replication::Locality;
use simd_json::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Parses a proxy, written as `NAME ZONE REGION STATE`. The state is `starting`, `ready` or `leaving`
/// (draining).
fn endpoint(text: &str) -> ProxyEndpoint {
    let [name, zone, region, state] = text.split(' ').collect::<Vec<_>>()[..] else {
        panic!("not four words: {text}")
    };
    ProxyEndpoint {
        name: name.to_string(),
        ip: 0,
        zone: zone.to_string(),
        region: region.to_string(),
        address: name.to_string(),
        state: match state {
            "starting" => EndpointState::Starting,
            "ready" => EndpointState::Ready,
            _ => EndpointState::Draining,
        },
        incarnation: 1,
        preferred_regions: Vec::new(),
    }
}

fn directory(endpoints: &[&str]) -> Directory {
    let endpoints = endpoints.iter().map(|text| endpoint(text)).collect();
    Directory { endpoints, coverage: Coverage::All, homes: Arc::default() }
}

/// Parses routes, written as `HOST:HOME+HOME` with their home regions; a route without home regions is
/// `HOST:`.
fn homes(routes: &str) -> Arc<HomeTable> {
    let route = |text: &str| {
        let (host, homes) = text.split_once(':').expect("the homes are missing");
        let homes = homes.split('+').filter(|home| !home.is_empty()).map(str::to_string);
        (host.to_string(), homes.collect::<Vec<_>>())
    };
    let routes: Vec<(String, Vec<String>)> = routes.split_whitespace().map(route).collect();
    Arc::new(HomeTable::new(routes.iter().map(|(host, homes)| (host.as_str(), homes.as_slice()))))
}

fn chosen(directory: &Directory, zone: &str, region: &str) -> String {
    chosen_for(directory, "h", zone, region)
}

fn chosen_for(directory: &Directory, host: &str, zone: &str, region: &str) -> String {
    let locality = Locality { zone: zone.to_string(), region: region.to_string() };
    directory.choose(host, &locality).join(" ")
}

#[test]
fn the_nearest_ready_proxies_are_listed() {
    let known = directory(&[
        "f1 a west ready",
        "f2 a west ready",
        "f3 b west ready",
        "f4 c east ready",
        "f5 c east leaving",
        "f6 a west starting",
    ]);
    assert_eq!(chosen(&known, "a", "west"), "f1 f2");
    assert_eq!(chosen(&known, "b", "west"), "f1 f2 f3");
    assert_eq!(chosen(&known, "c", "east"), "f4");
    assert_eq!(chosen(&known, "d", "east"), "f4");
    assert_eq!(chosen(&known, "e", "north"), "f1 f2 f3 f4");
}

#[test]
fn clients_go_to_the_regions_that_at_least_half_of_their_proxies_prefer() {
    let prefers_west =
        |text: &str| ProxyEndpoint { preferred_regions: vec!["west".to_string()], ..endpoint(text) };
    let ready = ["f1 a west ready", "f2 b north ready"].map(endpoint);
    let endpoints = |in_east: [ProxyEndpoint; 2]| ready.iter().cloned().chain(in_east).collect();
    let homes = homes("h:west h:");
    let directory = |endpoints| Directory { endpoints, coverage: Coverage::All, homes: homes.clone() };

    let one_of_two = directory(endpoints([prefers_west("f3 c east ready"), endpoint("f4 c east ready")]));
    assert_eq!(chosen(&one_of_two, "c", "east"), "f1");
    assert_eq!(chosen(&one_of_two, "b", "north"), "f2");

    let leaving = directory(endpoints([prefers_west("f3 c east leaving"), endpoint("f4 c east ready")]));
    assert_eq!(chosen(&leaving, "c", "east"), "f4");

    let none_ready = directory(vec![prefers_west("f3 c east ready"), endpoint("f1 a west starting")]);
    assert_eq!(chosen(&none_ready, "c", "east"), "f3");
}

#[test]
fn a_response_is_never_empty_if_a_proxy_is_known() {
    let endpoints = directory(&["f1 a west starting", "f2 b east leaving"]);
    let known = Directory { homes: homes("h:"), ..endpoints.clone() };
    assert_eq!(chosen(&known, "a", "west"), "f1 f2");
    // Without a configuration it is unknown which requests have home regions.
    assert_eq!(chosen(&endpoints, "a", "west"), "f1");
    assert_eq!(chosen(&endpoints, "c", "north"), "f1 f2");
    assert_eq!(chosen(&directory(&[]), "a", "west"), "");
}

#[test]
fn a_process_that_knows_too_little_lists_nothing() {
    let known = Directory { coverage: Coverage::TooFew, ..directory(&["f1 a west ready"]) };
    assert_eq!(chosen(&known, "a", "west"), "");
}

#[test]
fn at_most_64_addresses_are_listed() {
    let endpoints: Vec<String> = (0..100).map(|number| format!("f{number} a west ready")).collect();
    let known = directory(&endpoints.iter().map(String::as_str).collect::<Vec<_>>());
    let mut addresses = known.choose("h", &Locality { zone: "a".to_string(), region: "west".to_string() });
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 64);
}

const THREE_REGIONS: [&str; 4] = ["e a east ready", "w b west ready", "x b west ready", "n c north ready"];

/// Each case has the routes, the regions that the proxy in east prefers, and the proxies to which a client of
/// host `h` in east is sent.
#[test]
fn clients_are_sent_only_to_common_home_regions_of_their_host() {
    let table = [
        // All routes of the host have their home regions elsewhere: the preference of the proxy does not
        // count.
        ("h:west", "", "w x"),
        ("h:west+north", "", "w x n"),
        ("h:west+north h:west", "", "w x"),
        ("h:west+north h:west", "north", "w x"),
        // No region is a home region of all routes that have one.
        ("h:west h:north", "west", "e"),
        ("h:west h:north h:", "west north", "e"),
        // Some requests may be served in east: the preference counts, but only for common home regions.
        ("h:west h:", "", "e"),
        ("h:west h:", "west", "w x"),
        ("h:west h:", "north", "e"),
        ("h:west+north h:", "west", "w x"),
        ("h:west+north h:east", "west north", "e"),
        // All requests may be served in east.
        ("h:", "west", "e"),
        ("h:east+west h:", "west", "e"),
        // The routes of other hosts count only if no route is known for this host.
        ("h: g:west", "west", "e"),
        ("g:west", "", "w x"),
        ("g:west i:north", "west north", "e"),
    ];
    for (routes, preferred, expected) in table {
        let mut known = Directory { homes: homes(routes), ..directory(&THREE_REGIONS) };
        known.endpoints[0].preferred_regions = preferred.split_whitespace().map(str::to_string).collect();
        assert_eq!(chosen(&known, "a", "east"), expected, "{routes} | {preferred}");
    }
}

/// All proxies of a region drain because they are restarted at the same time. Clients of a host with home
/// regions are then sent only to one of those regions.
#[test]
fn clients_of_a_draining_region_are_sent_to_other_home_regions() {
    let mut known = directory(&["e a east leaving", "f a east leaving", "w b west ready", "n c north ready"]);
    known.homes = homes("h:east+west g: i:east");
    assert_eq!(chosen_for(&known, "h", "a", "east"), "w");
    assert_eq!(chosen_for(&known, "g", "a", "east"), "w n");
    assert_eq!(chosen_for(&known, "i", "a", "east"), "e f", "there is no other home region");

    known.endpoints[2] = endpoint("w b west starting");
    assert_eq!(chosen_for(&known, "h", "a", "east"), "e f w");
    known.endpoints.retain(|endpoint| endpoint.region == "north");
    assert_eq!(chosen_for(&known, "h", "a", "east"), "n", "no proxy is left in any home region");
}

#[test]
fn a_change_of_home_regions_takes_effect_at_once() {
    let mut known = directory(&THREE_REGIONS);
    for (routes, expected) in [("h:west", "w x"), ("h:north", "n"), ("h:east+north", "e"), ("h:", "e")] {
        known.homes = homes(routes);
        assert_eq!(chosen(&known, "a", "east"), expected, "{routes}");
    }
}

#[test]
fn while_settling_no_client_is_sent_outside_the_home_regions() {
    let known =
        |coverage| Directory { coverage, homes: homes("h:east g:"), ..directory(&["n c north ready"]) };
    assert_eq!(chosen(&known(Coverage::Settling), "a", "east"), "");
    assert_eq!(chosen_for(&known(Coverage::Settling), "g", "a", "east"), "n");
    assert_eq!(chosen(&known(Coverage::All), "a", "east"), "n");
}

/// The proxies of a partitioned region cannot reach the servers of other regions either.
#[test]
fn a_disconnected_directory_lists_nothing_for_clients_served_better_elsewhere() {
    let mut known = Directory { homes: homes("h:west g:east i:west i:"), ..directory(&["e a east ready"]) };
    known.coverage = Coverage::OwnReports;
    assert_eq!(chosen_for(&known, "h", "a", "east"), "");
    assert_eq!(chosen_for(&known, "g", "a", "east"), "e");
    assert_eq!(chosen_for(&known, "i", "a", "east"), "e");
    known.endpoints[0].preferred_regions = vec!["west".to_string()];
    assert_eq!(chosen_for(&known, "i", "a", "east"), "");
    known.coverage = Coverage::All;
    assert_eq!(chosen_for(&known, "h", "a", "east"), "e", "all proxies of the home regions are lost");
}

/// A random directory, and the routes from which its home regions were computed.
#[derive(Clone, Debug)]
struct AnyDirectory {
    directory: Directory,
    routes: Vec<(String, Vec<String>)>,
}

const REGIONS: [&str; 4] = ["east", "west", "north", "south"];
const HOSTS: [&str; 3] = ["g", "h", "unknown"];

fn some_regions(random: &mut Gen) -> Vec<String> {
    let chosen = REGIONS.iter().filter(|_| bool::arbitrary(random));
    chosen.map(|region| region.to_string()).collect()
}

fn any_endpoint(random: &mut Gen, number: usize) -> ProxyEndpoint {
    let region = *random.choose(&REGIONS).expect("no region to choose from");
    let zone = format!("{region}-{}", random.choose(&["a", "b"]).expect("no zone to choose from"));
    let state =
        random.choose(&["starting", "ready", "ready", "ready", "leaving"]).expect("no state to choose from");
    let mut preferred_regions = some_regions(random);
    preferred_regions.retain(|preferred| preferred != region);
    ProxyEndpoint { preferred_regions, ..endpoint(&format!("f{number} {zone} {region} {state}")) }
}

impl Arbitrary for AnyDirectory {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = usize::arbitrary(random) % 10;
        let endpoints = (0..count).map(|number| any_endpoint(random, number)).collect();
        let coverages = [Coverage::TooFew, Coverage::Settling, Coverage::All, Coverage::OwnReports];
        let coverage = *random.choose(&coverages).expect("no coverage to choose from");
        let count = usize::arbitrary(random) % 5;
        let host = |random: &mut Gen| random.choose(&HOSTS[..2]).expect("no host to choose from").to_string();
        let routes: Vec<_> = (0..count).map(|_| (host(random), some_regions(random))).collect();
        let homes = HomeTable::new(routes.iter().map(|(host, homes)| (host.as_str(), homes.as_slice())));
        AnyDirectory { directory: Directory { endpoints, coverage, homes: Arc::new(homes) }, routes }
    }
}

impl AnyDirectory {
    /// Returns the regions of the proxies that a client of `host` in `region` gets.
    fn listed_regions(&self, host: &str, region: &str) -> Vec<String> {
        let locality = Locality { zone: format!("{region}-a"), region: region.to_string() };
        let addresses = self.directory.choose(host, &locality);
        let region_of = |address: &String| {
            let endpoint = self.directory.endpoints.iter().find(|endpoint| endpoint.address == *address);
            endpoint.expect("an unknown proxy").region.clone()
        };
        addresses.iter().map(region_of).collect()
    }

    /// Returns whether a proxy is known in the client's region, or in a region that is a home region
    /// of every route of the host that has home regions.
    fn has_endpoints_for(&self, host: &str, region: &str) -> bool {
        let routes = self.routes.iter().filter(|(route_host, homes)| route_host == host && !homes.is_empty());
        let homes: Vec<_> = routes.map(|(_, homes)| homes).collect();
        let suits = |endpoint: &ProxyEndpoint| {
            endpoint.region == region || homes.iter().all(|homes| homes.contains(&endpoint.region))
        };
        self.directory.endpoints.iter().any(suits)
    }
}

/// A client of a host with home regions is never sent to a region that is neither its own nor a home region
/// of each such route. The exception is a directory that knows all proxies, none of which is in the client's
/// region or in a common home region.
#[test]
fn no_request_with_home_regions_is_sent_to_a_third_region() {
    fn holds(any: AnyDirectory) -> bool {
        let clients = HOSTS[..2].iter().flat_map(|host| REGIONS.map(|region| (*host, region)));
        clients.into_iter().all(|(host, region)| {
            let must_hold = any.directory.coverage != Coverage::All || any.has_endpoints_for(host, region);
            let listed = any.listed_regions(host, region);
            let routes =
                any.routes.iter().filter(|(route_host, homes)| route_host == host && !homes.is_empty());
            let is_third_region =
                |homes: &[String]| listed.iter().any(|listed| listed != region && !homes.contains(listed));
            !must_hold || routes.into_iter().all(|(_, homes)| !is_third_region(homes))
        })
    }
    quickcheck::QuickCheck::new().tests(20_000).quickcheck(holds as fn(AnyDirectory) -> bool);
}

#[test]
fn a_directory_that_knows_all_proxies_lists_at_least_one() {
    fn holds(any: AnyDirectory) -> bool {
        let must_list = any.directory.coverage == Coverage::All && !any.directory.endpoints.is_empty();
        let clients = HOSTS.iter().flat_map(|host| REGIONS.map(|region| (*host, region)));
        !must_list || clients.into_iter().all(|(host, region)| !any.listed_regions(host, region).is_empty())
    }
    quickcheck::QuickCheck::new().tests(5_000).quickcheck(holds as fn(AnyDirectory) -> bool);
}

struct HttpResponse {
    status: u16,
    retry_after: Option<String>,
    body: Vec<u8>,
}

fn get(address: SocketAddr, path: &str) -> HttpResponse {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let config = config.timeout_global(Some(Duration::from_secs(10))).build();
    let agent = ureq::Agent::new_with_config(config);
    let mut response = agent.get(format!("http://{address}{path}")).call().expect("no response");
    let retry_after = response.headers().get("Retry-After").and_then(|value| value.to_str().ok());
    HttpResponse {
        status: response.status().as_u16(),
        retry_after: retry_after.map(str::to_string),
        body: response.body_mut().read_to_vec().expect("cannot read the body"),
    }
}

#[test]
fn the_directory_responds_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let handle = DirectoryHandle::default();
    directory::serve(listener, handle.clone(), 1.5).expect("cannot start the server");

    let unknown = get(address, "/v1/resolve?Name=x&Region=west&Zone=a");
    assert_eq!((unknown.status, unknown.retry_after.as_deref()), (503, Some("0.2")));

    handle.set(Directory {
        endpoints: vec![
            ProxyEndpoint { zone: "a b".to_string(), ..endpoint("f1 a west ready") },
            ProxyEndpoint { zone: "a b".to_string(), ..endpoint("f2 a west ready") },
            endpoint("f3 c west ready"),
        ],
        coverage: Coverage::All,
        homes: Arc::default(),
    });
    let mut response = get(address, "/v1/resolve?Name=x&Region=west&Zone=a%20b");
    assert_eq!(response.status, 200);
    let parsed = simd_json::to_owned_value(&mut response.body).expect("the body is not JSON");
    let addresses: Vec<&str> = parsed
        .get_array("Addresses")
        .expect("the addresses are missing")
        .iter()
        .filter_map(|value| value.as_str())
        .collect();
    assert_eq!(addresses, ["f1", "f2"]);
    assert_eq!(parsed.get("TtlS").and_then(|value| value.cast_f64()), Some(1.5));

    let request =
        "GET /v1/resolve?Name=x&Region=west&Zone=a%20b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let expected = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\
                    Connection: close\r\n\r\n{\"Addresses\":[\"f1\",\"f2\"],\"TtlS\":1.5}";
    assert_eq!(send_raw(address, request), expected, "not the bytes of the program at commit 0b0971f");

    assert_eq!(get(address, "/v1/other").status, 404);
}
