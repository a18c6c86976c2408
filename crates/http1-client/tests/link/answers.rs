//! What comes of a request, how far it was written, and whether the connection is of further use.

use crate::server::{start, Shared};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use quillpulley_http1_client::{Failure, Link, LinkOptions, Written};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// The longest that anything is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than the kernel's buffers hold of a connection that nobody reads.
const LONG_BODY: usize = 32 * 1024 * 1024;

const OPTIONS: LinkOptions = LinkOptions {
    max_body: 1024,
    max_buffer: 32 * 1024,
    answer: PATIENCE,
    rest: Duration::ZERO,
    settle: PATIENCE,
};

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(PATIENCE, test).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, test);
}

async fn connect(address: SocketAddr) -> Link {
    Link::connect(address, &Rc::new(Cell::new(0)), OPTIONS).await.expect("a connection")
}

fn request(body: Vec<u8>) -> Request<Full<Bytes>> {
    Request::post("/x").header("host", "h.example").body(Full::new(Bytes::from(body))).expect("a request")
}

async fn told(shared: &Shared) {
    shared.told.acquire().await.expect("the server tells").forget();
}

fn outcome(result: Result<Response<Bytes>, Failure>) -> String {
    match result {
        Ok(answer) => format!("{} {}", answer.status().as_u16(), String::from_utf8_lossy(answer.body())),
        Err(failure) => format!("{failure:?}"),
    }
}

/// Lets the connection go on once, as the next use does.
async fn usable(link: &mut Link) -> bool {
    poll_fn(|cx| {
        link.poll_connection(cx);
        Poll::Ready(link.usable())
    })
    .await
}

/// Each line: what the server does, what comes of the request, how far it was written, and whether the connection
/// can be used again. `tell` stands where the server has nothing more to send.
const TIMELINES: &[(&str, &str, Written, bool)] = &[
    ("request ok tell", "200 done", Written::Whole, true),
    ("request chunked tell", "200 done", Written::Whole, true),
    ("request empty tell", "204 ", Written::Whole, true),
    ("request hint ok tell", "200 done", Written::Whole, true),
    ("request bare tell close", "200 done", Written::Whole, false),
    ("request bare tell reset", "Broken", Written::Whole, false),
    ("request ok ok tell", "200 done", Written::Whole, false),
    ("request ok hint tell", "200 done", Written::Whole, false),
    ("request half-head tell close", "Broken", Written::Whole, false),
    ("request half-head tell reset", "Broken", Written::Whole, false),
    ("request half-body tell close", "Broken", Written::Whole, false),
    ("request half-body tell reset", "Broken", Written::Whole, false),
    ("request half-chunk tell close", "Broken", Written::Whole, false),
    ("request half-chunk tell reset", "Broken", Written::Whole, false),
    ("request noise tell", "Broken", Written::Whole, false),
    ("request tell close", "Broken", Written::Whole, false),
    ("request tell reset", "Broken", Written::Whole, false),
    // Read or not: what was handed to the kernel may have been.
    ("head tell reset", "Broken", Written::Whole, false),
];

#[test]
fn timelines_come_out_as_they_should() {
    run(async {
        for (script, expected, written, again) in TIMELINES {
            let (address, shared) = start(std::slice::from_ref(script)).await;
            let mut link = connect(address).await;
            let result = outcome(link.exchange(request(b"work".to_vec())).await);
            told(&shared).await;
            let found = (result.as_str(), link.socket().written(), usable(&mut link).await);
            assert_eq!(found, (*expected, *written, *again), "{script}");
        }
    });
}

#[test]
fn of_what_finds_its_connection_ended_nothing_is_written() {
    run(async {
        for script in ["reset", "close", "ok close", "noise close", "request ok reset", "request ok close"] {
            let (address, _) = start(Box::leak(Box::new([script]))).await;
            let mut link = connect(address).await;
            if script.starts_with("request") {
                assert_eq!(outcome(link.exchange(request(b"work".to_vec())).await), "200 done");
            }
            link.socket().peer_left().await;
            let socket = link.socket().clone();
            let result = outcome(link.exchange(request(b"more".to_vec())).await);
            // Where only its writing had ended, the server might still read.
            match socket.written() {
                Written::Nothing => assert_eq!(result, "NotSent", "{script}"),
                _ => assert_eq!(result, "Broken", "{script}"),
            }
            assert!(!usable(&mut link).await, "{script}");
        }
    });
}

#[test]
fn a_kept_connection_whose_server_forgot_it_says_nothing_of_what_was_read() {
    run(async {
        let (address, _) = start(&["request ok head reset"]).await;
        let mut link = connect(address).await;
        link.exchange(request(b"work".to_vec())).await.expect("an answer");
        assert!(usable(&mut link).await);
        assert_eq!(outcome(link.exchange(request(b"more".to_vec())).await), "Broken");
        assert_eq!(link.socket().written(), Written::Whole);
    });
}

#[test]
fn an_early_answer_leaves_the_rest_of_the_body_in_its_place() {
    run(async {
        let (address, shared) = start(&["head ok wait body tell request ok"]).await;
        let mut link = connect(address).await;
        assert_eq!(outcome(link.exchange(request(vec![b'w'; LONG_BODY])).await), "200 done");
        assert_eq!(link.socket().written(), Written::Part);
        assert!(link.is_writing());
        assert!(!usable(&mut link).await, "the next request has to wait");
        shared.go_on.add_permits(1);
        // The server reads on, and gets that body and nothing else.
        let read = async {
            told(&shared).await;
        };
        link.drive(read).await;
        assert!(shared.bodies.borrow()[0].iter().all(|byte| *byte == b'w'));
        assert_eq!(shared.bodies.borrow()[0].len(), LONG_BODY);
        assert!(!link.is_writing() && usable(&mut link).await);
        assert_eq!(outcome(link.exchange(request(b"next".to_vec())).await), "200 done");
        assert_eq!(shared.bodies.borrow()[1], b"next");
    });
}

#[test]
fn a_body_that_was_written_in_part_broke_with_its_connection() {
    run(async {
        let (address, shared) = start(&["head tell reset"]).await;
        let mut link = connect(address).await;
        let result = outcome(link.exchange(request(vec![b'w'; LONG_BODY])).await);
        told(&shared).await;
        assert_eq!((result.as_str(), link.socket().written()), ("NotSent", Written::Part));
    });
}

#[test]
fn an_end_of_ones_own_does_not_pass_for_the_servers() {
    run(async {
        let (address, shared) = start(&["request bare tell"]).await;
        let mut link = connect(address).await;
        let response = link.open(request(b"work".to_vec())).await.expect("a head");
        told(&shared).await;
        let (_, mut body) = response.into_parts();
        let first = poll_fn(|cx| link.poll_data(cx, &mut body)).await;
        assert_eq!(first, Some(Ok(Bytes::from_static(b"done"))));
        link.socket().abort();
        let next = poll_fn(|cx| link.poll_data(cx, &mut body)).await;
        assert_eq!(next, Some(Err(Failure::Broken)), "the answer is not whole");
    });
}

#[test]
fn answers_on_different_connections_may_pass_each_other() {
    run(async {
        let (address, shared) = start(&["request tell wait ok", "request bare close"]).await;
        let (mut first, mut second) = (connect(address).await, connect(address).await);
        let slow = first.exchange(request(b"slow".to_vec()));
        let fast = async {
            told(&shared).await;
            let answer = outcome(second.exchange(request(b"fast".to_vec())).await);
            shared.go_on.add_permits(1);
            answer
        };
        let (slow, fast) = tokio::join!(slow, fast);
        assert_eq!((outcome(slow).as_str(), fast.as_str()), ("200 done", "200 done"));
        assert_eq!(*shared.bodies.borrow(), [b"slow".to_vec(), b"fast".to_vec()]);
    });
}
