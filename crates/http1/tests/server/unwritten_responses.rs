//! A connection is busy until the last byte of its response was written, and for a bounded time.

use crate::support::{
    patient_options, run, Listener, ENDLESS_PATH, LARGE_BODY_BYTES, STREAM_PATH, TEST_TIMEOUT,
};
use quillpulley_http1::{ConnectionOptions, Linger, WriteLimit};
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};

/// Guards against answers that are cut while their client reads them, because the connection counts as idle.
#[test]
fn a_response_that_is_still_being_read_does_not_make_its_connection_idle() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect_with_unread_body().await;
        listener.manager.close_slow(Duration::ZERO, Duration::ZERO);
        yield_now().await;
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
    });
}

/// Guards against streams whose end is cut while their client reads it, because the connection counts as idle.
#[test]
fn the_end_of_a_stream_that_is_still_being_read_does_not_make_its_connection_idle() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect().await;
        client.send(&format!("GET {STREAM_PATH} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
        client.read_head().await;
        listener.stream_ended.notified().await;
        listener.manager.close_slow(Duration::ZERO, Duration::ZERO);
        yield_now().await;
        listener.manager.drain();
        assert!(client.read_stream().await);
    });
}

/// Guards against answers that are cut because the head of the next request arrives slowly meanwhile.
#[test]
fn a_response_that_is_still_being_read_is_not_cut_by_the_start_of_the_next_head() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect_with_unread_body().await;
        client.send("GET /1").await;
        let first_half = client.read_body(LARGE_BODY_BYTES / 2).await;
        for _ in 0..2 {
            listener.manager.close_slow(Duration::ZERO, Duration::ZERO);
            yield_now().await;
        }
        let rest = LARGE_BODY_BYTES - first_half;
        assert_eq!(client.read_body(rest).await, rest);
    });
}

#[test]
fn a_connection_is_idle_again_once_its_response_was_written() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect_with_unread_body().await;
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
        client.request(10).await;
        client.read_head().await;
        assert_eq!(client.read_body(10).await, 10);
        listener.manager.close_slow(Duration::ZERO, Duration::ZERO);
        assert_eq!(client.read_body(1).await, 0);
    });
}

/// Guards against a drain that ends while a client still reads.
#[test]
fn a_drain_waits_for_responses_that_are_being_read() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect_with_unread_body().await;
        listener.manager.drain();
        let manager = listener.manager.clone();
        let drained = spawn_local(async move { manager.all_closed().await });
        yield_now().await;
        assert!(!drained.is_finished());
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
        drained.await.expect("drained");
    });
}

/// Guards against memory and slots that are given back before the last byte of an answer is written.
#[test]
fn what_a_response_holds_is_released_once_it_was_written() {
    run(async {
        let listener = Listener::start(patient_options()).await;
        let mut client = listener.connect_with_unread_body().await;
        yield_now().await;
        assert_eq!(listener.held.count(), 1);
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
        listener.held.all_released().await;
    });
}

/// Guards against answers whose end is lost because the connection is closed, and so reset, with unread input.
#[test]
fn what_a_client_sends_beyond_its_request_does_not_cut_its_response() {
    run(async {
        let linger = Linger { time: TEST_TIMEOUT, bytes: 1024 * 1024 };
        let listener = Listener::start(ConnectionOptions { linger, ..patient_options() }).await;
        let mut client = listener.connect().await;
        let request = format!("GET /{LARGE_BODY_BYTES} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        client.send(&(request + &"x".repeat(200_000))).await;
        client.read_head().await;
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
    });
}

/// Guards against clients that stop reading and hold a connection and its memory for ever.
#[test]
fn a_client_that_stops_reading_is_closed_after_the_stall_timeout() {
    run(async {
        let options =
            ConnectionOptions { write_stall_timeout: Duration::from_millis(50), ..patient_options() };
        let listener = Listener::start(options).await;
        let mut client = listener.connect_with_unread_body().await;
        listener.held.all_released().await;
        assert!(client.read_body(LARGE_BODY_BYTES).await < LARGE_BODY_BYTES);
    });
}

/// Guards against clients that read so slowly that the stall timeout never expires.
#[test]
fn a_response_that_is_not_read_by_its_write_deadline_is_closed() {
    run(async {
        let limit = WriteLimit { base: Duration::from_millis(50), min_rate: f64::INFINITY };
        let listener = Listener::start_with_write_limit(patient_options(), Some(limit)).await;
        let mut client = listener.connect_with_unread_body().await;
        listener.held.all_released().await;
        assert!(client.read_body(LARGE_BODY_BYTES).await < LARGE_BODY_BYTES);
    });
}

/// Guards against long responses that are cut although their clients read them at the minimum rate.
#[test]
fn the_write_deadline_of_a_response_depends_on_its_length() {
    run(async {
        let min_rate = LARGE_BODY_BYTES as f64 / TEST_TIMEOUT.as_secs_f64();
        let limit = WriteLimit { base: Duration::ZERO, min_rate };
        let listener = Listener::start_with_write_limit(patient_options(), Some(limit)).await;
        let mut client = listener.connect_with_unread_body().await;
        assert_eq!(client.read_body(LARGE_BODY_BYTES).await, LARGE_BODY_BYTES);
    });
}

/// Guards against clients that read long responses more slowly than at the minimum rate.
#[test]
fn a_response_that_is_read_more_slowly_than_its_length_allows_is_closed() {
    run(async {
        let min_rate = LARGE_BODY_BYTES as f64 / 0.05;
        let limit = WriteLimit { base: Duration::ZERO, min_rate };
        let listener = Listener::start_with_write_limit(patient_options(), Some(limit)).await;
        let mut client = listener.connect_with_unread_body().await;
        listener.held.all_released().await;
        assert!(client.read_body(LARGE_BODY_BYTES).await < LARGE_BODY_BYTES);
    });
}

#[test]
fn a_response_that_was_written_is_not_closed_at_its_write_deadline() {
    run(async {
        let limit = WriteLimit { base: Duration::ZERO, min_rate: f64::INFINITY };
        let listener = Listener::start_with_write_limit(patient_options(), Some(limit)).await;
        let mut client = listener.connect().await;
        for _ in 0..2 {
            client.request(10).await;
            client.read_head().await;
            assert_eq!(client.read_body(10).await, 10);
        }
    });
}

/// Guards against a shortage of memory that ends streams, which hold none.
#[test]
fn only_complete_responses_are_closed_for_what_they_hold() {
    run(async {
        let options = ConnectionOptions { write_stall_grace: Duration::ZERO, ..patient_options() };
        let listener = Listener::start(options).await;
        let mut streaming = listener.connect().await;
        streaming.send(&format!("GET {ENDLESS_PATH} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
        streaming.read_head().await;
        assert!(!listener.manager.close_most_stalled_response());
        let mut complete = listener.connect_with_unread_body().await;
        assert!(listener.manager.close_most_stalled_response());
        assert!(complete.read_body(LARGE_BODY_BYTES).await < LARGE_BODY_BYTES);
        assert!(streaming.read_body(LARGE_BODY_BYTES).await >= LARGE_BODY_BYTES);
    });
}

/// Guards against clients that stop reading and keep all others from connecting.
#[test]
fn a_stalled_connection_makes_room_for_a_new_one() {
    run(async {
        let options = ConnectionOptions {
            max_connections: 1,
            idle_grace: TEST_TIMEOUT,
            first_request_grace: TEST_TIMEOUT,
            write_stall_grace: Duration::from_millis(10),
            ..patient_options()
        };
        let listener = Listener::start(options).await;
        let mut stalled = listener.connect_with_unread_body().await;
        let mut other = listener.connect().await;
        other.request(10).await;
        other.read_head().await;
        assert_eq!(other.read_body(10).await, 10);
        listener.held.all_released().await;
        assert!(stalled.read_body(LARGE_BODY_BYTES).await < LARGE_BODY_BYTES);
    });
}
