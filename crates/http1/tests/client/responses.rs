//! The outcome of a request, how much of it was written, and whether the connection can be reused.

use crate::server::{start, Shared};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use quillpulley_http1::{ClientConnection, ConnectionLimits, ResponseError, WriteProgress};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{yield_now, LocalSet};
use tokio::time::timeout;

/// The maximum duration of a test, and the timeout of connections.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The size of a body that exceeds the kernel's buffers for a connection that the server does not read.
const LONG_BODY_BYTES: usize = 32 * 1024 * 1024;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_body: 1024,
    max_buffer: 32 * 1024,
    body_timeout: TIMEOUT,
    reuse_delay: Duration::ZERO,
    ready_timeout: TIMEOUT,
};

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let test = async { timeout(TIMEOUT, test).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, test);
}

async fn connect(address: SocketAddr) -> ClientConnection {
    ClientConnection::connect(address, &Rc::new(Cell::new(0)), LIMITS)
        .await
        .expect("the connection is established")
}

fn request(body: Vec<u8>) -> Request<Full<Bytes>> {
    Request::post("/x")
        .header("host", "h.example")
        .body(Full::new(Bytes::from(body)))
        .expect("the request is valid")
}

async fn wait_for_signal(shared: &Shared) {
    shared.signals.acquire().await.expect("the server signals").forget();
}

fn outcome(result: Result<Response<Bytes>, ResponseError>) -> String {
    match result {
        Ok(response) => {
            format!("{} {}", response.status().as_u16(), String::from_utf8_lossy(response.body()))
        }
        Err(failure) => format!("{failure:?}"),
    }
}

/// Polls the connection once, as its next use does, and returns whether it can be reused.
async fn is_usable(connection: &mut ClientConnection) -> bool {
    poll_fn(|cx| {
        connection.poll_connection(cx);
        Poll::Ready(connection.is_usable())
    })
    .await
}

/// The script of the server, the outcome of the request, how much of it was written, and whether the
/// connection can be reused. `signal` stands where the server has nothing more to send.
const SCRIPTS: &[(&str, &str, WriteProgress, bool)] = &[
    ("request ok signal", "200 done", WriteProgress::Complete, true),
    ("request chunked signal", "200 done", WriteProgress::Complete, true),
    ("request status-204 signal", "204 ", WriteProgress::Complete, true),
    ("request status-103 ok signal", "200 done", WriteProgress::Complete, true),
    ("request unframed signal close", "200 done", WriteProgress::Complete, false),
    ("request unframed signal reset", "Broken", WriteProgress::Complete, false),
    ("request ok ok signal", "200 done", WriteProgress::Complete, false),
    ("request ok status-103 signal", "200 done", WriteProgress::Complete, false),
    ("request partial-head signal close", "Broken", WriteProgress::Complete, false),
    ("request partial-head signal reset", "Broken", WriteProgress::Complete, false),
    ("request partial-body signal close", "Broken", WriteProgress::Complete, false),
    ("request partial-body signal reset", "Broken", WriteProgress::Complete, false),
    ("request partial-chunk signal close", "Broken", WriteProgress::Complete, false),
    ("request partial-chunk signal reset", "Broken", WriteProgress::Complete, false),
    ("request not-http signal", "Broken", WriteProgress::Complete, false),
    ("request signal close", "Broken", WriteProgress::Complete, false),
    ("request signal reset", "Broken", WriteProgress::Complete, false),
    // The server does not read the body, but it could have: the kernel has taken all of the request.
    ("head signal reset", "Broken", WriteProgress::Complete, false),
];

#[test]
fn each_script_leads_to_the_expected_outcome() {
    run(async {
        for (script, expected, write_progress, is_reusable) in SCRIPTS {
            let (address, shared) = start(std::slice::from_ref(script)).await;
            let mut connection = connect(address).await;
            let result = outcome(connection.exchange(request(b"work".to_vec())).await);
            wait_for_signal(&shared).await;
            let actual =
                (result.as_str(), connection.socket().write_progress(), is_usable(&mut connection).await);
            assert_eq!(actual, (*expected, *write_progress, *is_reusable), "{script}");
        }
    });
}

#[test]
fn a_request_on_a_connection_that_the_server_ended_fails() {
    run(async {
        for script in ["reset", "close", "ok close", "not-http close", "request ok reset", "request ok close"]
        {
            let (address, _) = start(Box::leak(Box::new([script]))).await;
            let mut connection = connect(address).await;
            if script.starts_with("request") {
                assert_eq!(outcome(connection.exchange(request(b"work".to_vec())).await), "200 done");
            }
            connection.socket().peer_closed().await;
            let socket = connection.socket().clone();
            let result = outcome(connection.exchange(request(b"more".to_vec())).await);
            // If bytes were written, the server may have read them: it may have closed only its sending side.
            match socket.write_progress() {
                WriteProgress::NotStarted => assert_eq!(result, "NotSent", "{script}"),
                _ => assert_eq!(result, "Broken", "{script}"),
            }
            assert!(!is_usable(&mut connection).await, "{script}");
        }
    });
}

#[test]
fn a_reset_of_a_reused_connection_does_not_prove_that_the_request_was_not_read() {
    run(async {
        let (address, _) = start(&["request ok head reset"]).await;
        let mut connection = connect(address).await;
        connection.exchange(request(b"work".to_vec())).await.expect("the response arrives");
        assert!(is_usable(&mut connection).await);
        assert_eq!(outcome(connection.exchange(request(b"more".to_vec())).await), "Broken");
        assert_eq!(connection.socket().write_progress(), WriteProgress::Complete);
    });
}

#[test]
fn after_an_early_response_the_rest_of_the_body_is_still_sent() {
    run(async {
        let (address, shared) = start(&["head ok wait body signal request ok"]).await;
        let mut connection = connect(address).await;
        assert_eq!(outcome(connection.exchange(request(vec![b'w'; LONG_BODY_BYTES])).await), "200 done");
        assert_eq!(connection.socket().write_progress(), WriteProgress::Partial);
        assert!(connection.is_writing());
        assert!(!is_usable(&mut connection).await, "the next request has to wait");
        shared.continue_permits.add_permits(1);
        // The server reads the rest of this body and nothing else.
        let rest_read = async {
            wait_for_signal(&shared).await;
        };
        connection.drive(rest_read).await;
        assert!(shared.bodies.borrow()[0].iter().all(|byte| *byte == b'w'));
        assert_eq!(shared.bodies.borrow()[0].len(), LONG_BODY_BYTES);
        assert!(!connection.is_writing() && is_usable(&mut connection).await);
        assert_eq!(outcome(connection.exchange(request(b"next".to_vec())).await), "200 done");
        assert_eq!(shared.bodies.borrow()[1], b"next");
    });
}

#[test]
fn a_request_that_was_written_in_part_counts_as_not_sent() {
    run(async {
        let (address, shared) = start(&["head signal reset"]).await;
        let mut connection = connect(address).await;
        let result = outcome(connection.exchange(request(vec![b'w'; LONG_BODY_BYTES])).await);
        wait_for_signal(&shared).await;
        assert_eq!(
            (result.as_str(), connection.socket().write_progress()),
            ("NotSent", WriteProgress::Partial)
        );
    });
}

#[test]
fn an_abort_by_the_client_is_not_taken_for_the_end_of_the_response() {
    run(async {
        let (address, shared) = start(&["request unframed signal"]).await;
        let mut connection = connect(address).await;
        let response =
            connection.send(request(b"work".to_vec())).await.expect("the head of the response arrives");
        wait_for_signal(&shared).await;
        let (_, mut body) = response.into_parts();
        let first = poll_fn(|cx| connection.poll_data(cx, &mut body)).await;
        assert_eq!(first, Some(Ok(Bytes::from_static(b"done"))));
        connection.socket().abort();
        let next = poll_fn(|cx| connection.poll_data(cx, &mut body)).await;
        assert_eq!(next, Some(Err(ResponseError::Broken)), "the response is not complete");
    });
}

#[test]
fn responses_on_different_connections_may_arrive_in_another_order() {
    run(async {
        let (address, shared) = start(&["request signal wait ok", "request unframed close"]).await;
        let (mut first, mut second) = (connect(address).await, connect(address).await);
        let slow = first.exchange(request(b"slow".to_vec()));
        let fast = async {
            wait_for_signal(&shared).await;
            let result = outcome(second.exchange(request(b"fast".to_vec())).await);
            shared.continue_permits.add_permits(1);
            result
        };
        let (slow, fast) = tokio::join!(slow, fast);
        assert_eq!((outcome(slow).as_str(), fast.as_str()), ("200 done", "200 done"));
        assert_eq!(*shared.bodies.borrow(), [b"slow".to_vec(), b"fast".to_vec()]);
    });
}

#[test]
fn a_connection_with_unread_bytes_cannot_be_reused() {
    run(async {
        let (address, shared) = start(&["request ok signal wait ok signal"]).await;
        let mut connection = connect(address).await;
        assert_eq!(outcome(connection.exchange(request(b"work".to_vec())).await), "200 done");
        wait_for_signal(&shared).await;
        assert!(is_usable(&mut connection).await);
        shared.continue_permits.add_permits(1);
        wait_for_signal(&shared).await;
        // The connection is not polled meanwhile, so that the bytes are only in the kernel's buffer.
        while connection.socket().is_open_and_empty() {
            yield_now().await;
        }
        assert!(!connection.is_usable());
    });
}

#[test]
fn a_connection_whose_response_is_not_complete_cannot_be_reused() {
    run(async {
        let (address, shared) = start(&["request partial-body signal"]).await;
        let mut connection = connect(address).await;
        let response =
            connection.send(request(b"work".to_vec())).await.expect("the head of the response arrives");
        wait_for_signal(&shared).await;
        let (_, mut body) = response.into_parts();
        let first = poll_fn(|cx| connection.poll_data(cx, &mut body)).await;
        assert_eq!(first, Some(Ok(Bytes::from_static(b"do"))));
        assert!(!connection.is_usable() && !is_usable(&mut connection).await);
    });
}
