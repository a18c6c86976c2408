//! The outcome of a request, how much of it was written, and whether the connection can be reused.

use crate::server::{start, Shared};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use quillpulley_http1_client::{ClientConnection, ConnectionLimits, ResponseError, WriteProgress};
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
/// The size of a body that exceeds the kernel's buffers for a connection that the server does not read, in
/// bytes.
const LONG_BODY: usize = 32 * 1024 * 1024;

const OPTIONS: ConnectionLimits = ConnectionLimits {
    max_body: 1024,
    max_buffer: 32 * 1024,
    body_timeout: TIMEOUT,
    reuse_delay: Duration::ZERO,
    ready_timeout: TIMEOUT,
};

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(TIMEOUT, test).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, test);
}

async fn connect(address: SocketAddr) -> ClientConnection {
    ClientConnection::connect(address, &Rc::new(Cell::new(0)), OPTIONS).await.expect("a connection")
}

fn request(body: Vec<u8>) -> Request<Full<Bytes>> {
    Request::post("/x").header("host", "h.example").body(Full::new(Bytes::from(body))).expect("a request")
}

async fn wait_for_signal(shared: &Shared) {
    shared.signals.acquire().await.expect("the server signals").forget();
}

fn outcome(result: Result<Response<Bytes>, ResponseError>) -> String {
    match result {
        Ok(body_timeout) => {
            format!("{} {}", body_timeout.status().as_u16(), String::from_utf8_lossy(body_timeout.body()))
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
const TIMELINES: &[(&str, &str, WriteProgress, bool)] = &[
    ("request ok signal", "200 done", WriteProgress::Complete, true),
    ("request chunked signal", "200 done", WriteProgress::Complete, true),
    ("request empty signal", "204 ", WriteProgress::Complete, true),
    ("request hint ok signal", "200 done", WriteProgress::Complete, true),
    ("request bare signal close", "200 done", WriteProgress::Complete, false),
    ("request bare signal reset", "Broken", WriteProgress::Complete, false),
    ("request ok ok signal", "200 done", WriteProgress::Complete, false),
    ("request ok hint signal", "200 done", WriteProgress::Complete, false),
    ("request half-head signal close", "Broken", WriteProgress::Complete, false),
    ("request half-head signal reset", "Broken", WriteProgress::Complete, false),
    ("request half-body signal close", "Broken", WriteProgress::Complete, false),
    ("request half-body signal reset", "Broken", WriteProgress::Complete, false),
    ("request half-chunk signal close", "Broken", WriteProgress::Complete, false),
    ("request half-chunk signal reset", "Broken", WriteProgress::Complete, false),
    ("request noise signal", "Broken", WriteProgress::Complete, false),
    ("request signal close", "Broken", WriteProgress::Complete, false),
    ("request signal reset", "Broken", WriteProgress::Complete, false),
    // The server does not read the body, but it could have: the kernel has taken all of the request.
    ("head signal reset", "Broken", WriteProgress::Complete, false),
];

#[test]
fn timelines_come_out_as_they_should() {
    run(async {
        for (script, expected, write_progress, again) in TIMELINES {
            let (address, shared) = start(std::slice::from_ref(script)).await;
            let mut connection = connect(address).await;
            let result = outcome(connection.exchange(request(b"work".to_vec())).await);
            wait_for_signal(&shared).await;
            let found =
                (result.as_str(), connection.socket().write_progress(), is_usable(&mut connection).await);
            assert_eq!(found, (*expected, *write_progress, *again), "{script}");
        }
    });
}

#[test]
fn of_what_finds_its_connection_ended_nothing_is_written() {
    run(async {
        for script in ["reset", "close", "ok close", "noise close", "request ok reset", "request ok close"] {
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
fn a_stale_reused_connection_does_not_prove_what_was_read() {
    run(async {
        let (address, _) = start(&["request ok head reset"]).await;
        let mut connection = connect(address).await;
        connection.exchange(request(b"work".to_vec())).await.expect("a response");
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
        assert_eq!(outcome(connection.exchange(request(vec![b'w'; LONG_BODY])).await), "200 done");
        assert_eq!(connection.socket().write_progress(), WriteProgress::Partial);
        assert!(connection.is_writing());
        assert!(!is_usable(&mut connection).await, "the next request has to wait");
        shared.go_on.add_permits(1);
        // The server reads the rest of this body and nothing else.
        let read = async {
            wait_for_signal(&shared).await;
        };
        connection.drive(read).await;
        assert!(shared.bodies.borrow()[0].iter().all(|byte| *byte == b'w'));
        assert_eq!(shared.bodies.borrow()[0].len(), LONG_BODY);
        assert!(!connection.is_writing() && is_usable(&mut connection).await);
        assert_eq!(outcome(connection.exchange(request(b"next".to_vec())).await), "200 done");
        assert_eq!(shared.bodies.borrow()[1], b"next");
    });
}

#[test]
fn a_body_that_was_written_in_part_broke_with_its_connection() {
    run(async {
        let (address, shared) = start(&["head signal reset"]).await;
        let mut connection = connect(address).await;
        let result = outcome(connection.exchange(request(vec![b'w'; LONG_BODY])).await);
        wait_for_signal(&shared).await;
        assert_eq!(
            (result.as_str(), connection.socket().write_progress()),
            ("NotSent", WriteProgress::Partial)
        );
    });
}

#[test]
fn an_end_of_ones_own_does_not_pass_for_the_servers() {
    run(async {
        let (address, shared) = start(&["request bare signal"]).await;
        let mut connection = connect(address).await;
        let response = connection.send(request(b"work".to_vec())).await.expect("a head");
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
fn answers_on_different_connections_may_pass_each_other() {
    run(async {
        let (address, shared) = start(&["request signal wait ok", "request bare close"]).await;
        let (mut first, mut second) = (connect(address).await, connect(address).await);
        let is_slow = first.exchange(request(b"slow".to_vec()));
        let fast = async {
            wait_for_signal(&shared).await;
            let body_timeout = outcome(second.exchange(request(b"fast".to_vec())).await);
            shared.go_on.add_permits(1);
            body_timeout
        };
        let (is_slow, fast) = tokio::join!(is_slow, fast);
        assert_eq!((outcome(is_slow).as_str(), fast.as_str()), ("200 done", "200 done"));
        assert_eq!(*shared.bodies.borrow(), [b"slow".to_vec(), b"fast".to_vec()]);
    });
}

#[test]
fn bytes_that_nobody_has_read_yet_keep_a_connection_from_being_reused() {
    run(async {
        let (address, shared) = start(&["request ok signal wait ok signal"]).await;
        let mut connection = connect(address).await;
        assert_eq!(outcome(connection.exchange(request(b"work".to_vec())).await), "200 done");
        wait_for_signal(&shared).await;
        assert!(is_usable(&mut connection).await);
        shared.go_on.add_permits(1);
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
        let (address, shared) = start(&["request half-body signal"]).await;
        let mut connection = connect(address).await;
        let response = connection.send(request(b"work".to_vec())).await.expect("a head");
        wait_for_signal(&shared).await;
        let (_, mut body) = response.into_parts();
        let first = poll_fn(|cx| connection.poll_data(cx, &mut body)).await;
        assert_eq!(first, Some(Ok(Bytes::from_static(b"do"))));
        assert!(!connection.is_usable() && !is_usable(&mut connection).await);
    });
}
