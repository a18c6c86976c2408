//! Tests of streams of events: forwarding, truncation, and resumption at another server.

use crate::support::client::request;
use crate::support::{configuration, route, run, Client, FakeServer, Proxy};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time from the end of a client's connection until its request is cancelled at the server.
const MAX_CANCEL_TIME: Duration = Duration::from_millis(500);
const RESUMABLE: &str = "\"Resumable\":true,\"MaxAttempts\":3";

/// Starts a proxy with two servers and two streaming routes: `/s/` is not resumable, `/r/` is.
async fn start() -> (Proxy, FakeServer, FakeServer) {
    let one = FakeServer::start("i-1", "one").await;
    let two = FakeServer::start("i-2", "one").await;
    let routes = [route("s", "streaming", "\"MaxAttempts\":3"), route("r", "streaming", RESUMABLE)];
    let proxy = Proxy::start(&configuration(1, &[&routes[0], &routes[1]]), &[&one, &two]).await;
    (proxy, one, two)
}

/// Sends a request on a new connection.
async fn send_request(proxy: &Proxy, path: &str, headers: &str) -> Client {
    let mut client = proxy.client().await;
    client.send(&request(&format!("POST {path}"), "id-1", headers, "prompt")).await;
    client
}

/// Waits for the next request, whichever server receives it.
async fn next_call(one: &mut FakeServer, two: &mut FakeServer) -> crate::support::Call {
    tokio::select! {
        call = one.next_call() => call,
        call = two.next_call() => call,
    }
}

#[test]
fn data_is_forwarded_as_it_arrives() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/s/x", "").await;
        let mut call = next_call(&mut one, &mut two).await;
        call.begin_stream().await;
        let head = client.read_head().await;
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("quillpulley-response-seal"), Some("seal"));
        assert_eq!(head.header("content-type"), Some("text/event-stream"));
        // The stream is not resumable, so incomplete events are forwarded too.
        for piece in ["id: 1\nda", "ta: a\n\n", "id: 2\ndata: b\n\n"] {
            call.write_chunk(piece).await;
            assert_eq!(client.read_chunk().await.as_deref(), Some(piece));
        }
        call.end_stream().await;
        assert_eq!(client.read_chunk().await, None);
    });
}

#[test]
fn a_stream_that_its_server_truncates_is_truncated_for_the_client() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/s/x", "").await;
        let mut call = next_call(&mut one, &mut two).await;
        call.begin_stream().await;
        call.write_chunk("id: 1\ndata: a\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        call.close();
        assert!(client.is_truncated().await);
        assert!(!one.has_call() && !two.has_call());
    });
}

// Guards against a stream that looks complete although its server stopped in the middle of an event (MIXED, ORDER).
#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_truncated() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        for (last, is_complete) in
            [("id: 2\ndata: b\n\n", true), ("id: 2\ndata: b\n", false), ("id: 2\nda", false)]
        {
            let mut client = send_request(&proxy, "/s/x", "").await;
            let mut call = next_call(&mut one, &mut two).await;
            let head =
                "HTTP/1.1 200 OK\r\nQuillpulley-Response-Seal: seal\r\nQuillpulley-Request-Id: id-1\r\n\r\n";
            call.write(&format!("{head}id: 1\ndata: a\n\n")).await;
            client.read_head().await;
            client.read_chunk().await;
            call.write(last).await;
            call.close();
            let end = loop {
                match client.try_read_chunk().await {
                    Some(Some(_)) => {}
                    end => break end,
                }
            };
            assert_eq!(end.is_some(), is_complete, "{last:?}");
        }
    });
}

#[test]
fn a_client_that_disconnects_cancels_its_request_at_the_server() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        for path in ["/s/x", "/r/x"] {
            let mut client = send_request(&proxy, path, "").await;
            let mut call = next_call(&mut one, &mut two).await;
            call.begin_stream().await;
            call.write_chunk("id: 1\ndata: a\n\n").await;
            client.read_head().await;
            drop(client);
            call.wait_until_closed().await;
        }
        let client = send_request(&proxy, "/s/x", "").await;
        let call = next_call(&mut one, &mut two).await;
        drop(client);
        call.wait_until_closed().await;
    });
}

// Guards against servers that go on with a stream after its client has gone (GONE): hyper looks for the end of the
// input only while nothing else has arrived.
#[test]
fn a_client_that_sends_more_and_disconnects_cancels_its_stream() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        for path in ["/s/x", "/r/x"] {
            let mut client = send_request(&proxy, path, "").await;
            let mut call = next_call(&mut one, &mut two).await;
            call.begin_stream().await;
            call.write_chunk("id: 1\ndata: a\n\n").await;
            client.read_head().await;
            client.send(&request("GET /s/y", "id-2", "", "")).await;
            call.write_chunk("id: 2\ndata: b\n\n").await;
            for _ in 0..2 {
                client.read_chunk().await;
            }
            drop(client);
            let closed = timeout(MAX_CANCEL_TIME, call.wait_until_closed()).await;
            assert!(closed.is_ok(), "the stream on {path} goes on at its server");
            assert!(!one.has_call() && !two.has_call());
        }
    });
}

#[test]
fn a_resumable_stream_is_resumed_at_another_server() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/r/x", "Last-Event-Id: 4\r\n").await;
        let mut call = next_call(&mut one, &mut two).await;
        assert_eq!(call.request.header("last-event-id"), Some("4"));
        call.begin_stream().await;
        call.write_chunk("id: 5\ndata: a\n\nid: 6\nda").await;
        client.read_head().await;
        // The incomplete event is not forwarded.
        assert_eq!(client.read_chunk().await.as_deref(), Some("id: 5\ndata: a\n\n"));
        call.reset();

        let mut call = next_call(&mut one, &mut two).await;
        assert_eq!(call.request.header("last-event-id"), Some("5"));
        assert_eq!(call.request.header("quillpulley-request-id"), Some("id-1"));
        assert_eq!(call.request.text(), "prompt");
        call.begin_stream().await;
        call.write_chunk("id: 6\ndata: b\n\n").await;
        assert_eq!(client.read_chunk().await.as_deref(), Some("id: 6\ndata: b\n\n"));
        call.end_stream().await;
        assert_eq!(client.read_chunk().await, None);
    });
}

#[test]
fn a_resumable_stream_without_an_event_restarts() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/r/x", "").await;
        let mut call = next_call(&mut one, &mut two).await;
        call.begin_stream().await;
        call.write_chunk("id: 1\nda").await;
        client.read_head().await;
        call.reset();
        let mut call = next_call(&mut one, &mut two).await;
        assert_eq!(call.request.header("last-event-id"), None);
        call.begin_stream().await;
        call.write_chunk("id: 1\ndata: a\n\n").await;
        assert_eq!(client.read_chunk().await.as_deref(), Some("id: 1\ndata: a\n\n"));
        call.end_stream().await;
        assert_eq!(client.read_chunk().await, None);
    });
}

#[test]
fn a_resumable_stream_is_truncated_if_no_server_resumes_it() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/r/x", "").await;
        let mut call = next_call(&mut one, &mut two).await;
        call.begin_stream().await;
        client.read_head().await;
        call.reset();
        // The only other server reports that it did not execute the request.
        let call = next_call(&mut one, &mut two).await;
        call.respond("503 Service Unavailable", "Quillpulley-Not-Executed: full\r\n", "").await;
        assert!(client.is_truncated().await);
    });
}

#[test]
fn a_stream_is_truncated_at_its_deadline() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let routes = [
            route("s", "streaming", "\"TimeoutMs\":300"),
            route("r", "streaming", "\"TimeoutMs\":300,\"Resumable\":true,\"MaxAttempts\":3"),
        ];
        let proxy = Proxy::start(&configuration(1, &[&routes[0], &routes[1]]), &[&one]).await;
        for path in ["/s/x", "/r/x"] {
            let mut client = send_request(&proxy, path, "").await;
            let mut call = one.next_call().await;
            call.begin_stream().await;
            call.write_chunk("id: 1\ndata: a\n\n").await;
            client.read_head().await;
            assert!(client.read_chunk().await.is_some());
            assert!(client.is_truncated().await);
            call.wait_until_closed().await;
        }
    });
}

#[test]
fn a_stream_that_its_client_does_not_read_ends_at_its_deadline() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let routes = [route("s", "streaming", "\"TimeoutMs\":1000")];
        let proxy = Proxy::start(&configuration(1, &[&routes[0]]), &[&one]).await;
        let _client = send_request(&proxy, "/s/x", "").await;
        let mut call = one.next_call().await;
        call.begin_stream().await;
        // The writes fill all buffers on the path, until the proxy closes the connection at the deadline.
        call.write_until_closed(&format!("id: 1\ndata: {}\n\n", "x".repeat(60_000))).await;
    });
}

#[test]
fn a_client_that_disconnects_during_a_resumption_cancels_it() {
    run(async {
        let (proxy, mut one, mut two) = start().await;
        let mut client = send_request(&proxy, "/r/x", "").await;
        let mut call = next_call(&mut one, &mut two).await;
        call.begin_stream().await;
        call.write_chunk("id: 1\ndata: a\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        call.reset();
        // The second server has received the request and has not responded.
        let call = next_call(&mut one, &mut two).await;
        drop(client);
        call.wait_until_closed().await;
        assert!(!one.has_call() && !two.has_call());
    });
}
