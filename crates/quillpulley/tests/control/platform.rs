//! Tests of fetching and parsing the pages of the platform's list.

use quillpulley::control::discovery::fetcher::Fetcher;
use quillpulley::control::discovery::page::{parse_page, PageError};
use quillpulley::control::discovery::reader::{Fetch, FetchError};
use quillpulley_protocol::ServerState;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;
use tiny_http::{Response, Server};

const TIMEOUT: Duration = Duration::from_secs(10);

const PAGE: &str = r#"{"Instances":[
    {"Service":"chat","Address":"10.0.0.9:80","Zone":"a","Version":"v1","Slots":64,"State":"ready",
     "WarmupLeftMs":1500,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Id":"i-1"},
    {"Service":"chat","Address":"10.0.0.8:80","Zone":"b","Version":"v1","Slots":64,"State":"draining",
     "WarmupLeftMs":0,"TimeLeftMs":2500.5,"Id":"i-2","NewField":{"a":[1,2]}}
    ],"NextToken":"p-50"}"#;

#[test]
fn a_page_is_parsed() {
    let page = parse_page(&mut PAGE.as_bytes().to_vec()).expect("cannot parse the page");
    assert_eq!(page.next_token.as_deref(), Some("p-50"));
    assert!(page.unreadable.is_empty());
    let [ready, draining] = &page.servers[..] else { panic!("not two servers: {:?}", page.servers) };
    assert_eq!(
        (ready.id.as_str(), ready.state, ready.warmup_remaining_ms),
        ("i-1", ServerState::Ready, 1500)
    );
    assert_eq!((ready.slots, ready.has_time_remaining), (64, false));
    assert_eq!((draining.zone.as_str(), draining.state), ("b", ServerState::Draining));
    assert_eq!((draining.has_time_remaining, draining.time_remaining_ms), (true, 2500));
}

#[test]
fn an_unreadable_entry_is_reported_and_skipped() {
    let page = r#"{"Instances":[{"Id":"i-1","Service":"chat"},7,
        {"Id":"i-2","Service":"chat","Address":"10.0.0.8:80","Zone":"b","State":"ready"}],"NextToken":null}"#;
    let page = parse_page(&mut page.as_bytes().to_vec()).expect("cannot parse the page");
    assert_eq!(page.unreadable, ["i-1", ""]);
    assert_eq!(page.servers.len(), 1);
    assert_eq!(page.next_token, None);
}

#[test]
fn an_unreadable_page_is_an_error() {
    let truncated = parse_page(&mut PAGE.as_bytes()[..100].to_vec());
    assert!(matches!(truncated, Err(PageError::NotJson(_))));
    let empty = parse_page(&mut b"{}".to_vec());
    assert_eq!(empty, Err(PageError::Missing("Instances")));
    let token = parse_page(&mut br#"{"Instances":[],"NextToken":7}"#.to_vec());
    assert!(matches!(token, Err(PageError::Missing(_))));
}

/// Starts a platform that sends these responses in order. Returns its address and the paths that are
/// requested.
fn start_platform(responses: Vec<(u16, String)>) -> (SocketAddr, Receiver<String>) {
    let server = Server::http("127.0.0.1:0").expect("cannot start the server");
    let address = server.server_addr().to_ip().expect("no valid address");
    let (path_sender, paths) = mpsc::channel();
    std::thread::spawn(move || {
        for (status, body) in responses {
            let Ok(request) = server.recv() else { return };
            path_sender.send(request.url().to_string()).expect("the test has ended");
            request.respond(Response::from_string(body).with_status_code(status)).expect("cannot respond");
        }
    });
    (address, paths)
}

#[test]
fn pages_are_fetched_one_after_the_other() {
    let responses =
        vec![(200, PAGE.to_string()), (429, String::new()), (500, String::new()), (200, "x".to_string())];
    let (address, paths) = start_platform(responses);
    let (send, outcomes) = mpsc::channel();
    let fetcher = Fetcher::start(move |outcome| send.send(outcome).expect("the test has ended"));
    let fetcher = fetcher.expect("cannot start the thread");
    let fetch = |token: Option<&str>| {
        fetcher.fetch(address, Fetch { token: token.map(str::to_string) });
        let outcome = outcomes.recv_timeout(TIMEOUT).expect("no outcome");
        (outcome, paths.recv_timeout(TIMEOUT).expect("no request"))
    };
    let (page, path) = fetch(None);
    assert_eq!((page.map(|page| page.servers.len()), path.as_str()), (Ok(2), "/instances"));
    let (rate_limited, path) = fetch(Some("p 50&x"));
    assert_eq!(rate_limited, Err(FetchError::RateLimited));
    assert_eq!(path, "/instances?PageToken=p%2050%26x");
    assert_eq!(fetch(None).0, Err(FetchError::Status(500)));
    assert!(matches!(fetch(None).0, Err(FetchError::Unreadable(_))));
}

#[test]
fn an_unreachable_platform_is_an_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    drop(listener);
    let (send, outcomes) = mpsc::channel();
    let fetcher = Fetcher::start(move |outcome| send.send(outcome).expect("the test has ended"));
    fetcher.expect("cannot start the thread").fetch(address, Fetch { token: None });
    assert!(matches!(outcomes.recv_timeout(TIMEOUT), Ok(Err(FetchError::Failed(_)))));
}
