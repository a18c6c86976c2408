//! A request that was read gets its response, whatever makes connections close meanwhile.

use crate::support::{patient_options, run, Client, Listener, HELD_BACK_PATH};
use quillpulley_http1::ConnectionOptions;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};

/// What makes connections close.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// Slow connections are looked for, without any grace.
    Slow,
    /// The limit of heads is raised.
    RaisedLimit,
    /// Another client connects, and there is room for one connection only.
    NoRoom,
    /// Memory is short.
    Shortage,
    /// The listener begins to drain.
    Drain,
    /// The listener closes all connections as they become idle.
    Close,
}

const CAUSES: [Cause; 6] =
    [Cause::Slow, Cause::RaisedLimit, Cause::NoRoom, Cause::Shortage, Cause::Drain, Cause::Close];

/// Options with the least patience that still lets clients read.
fn options(max_header_bytes: usize) -> ConnectionOptions {
    ConnectionOptions {
        max_connections: 1,
        max_header_bytes,
        receive_grace: Some(Duration::ZERO),
        ..patient_options()
    }
}

async fn apply(cause: Cause, step: usize, listener: &Listener, others: &mut Vec<Client>) {
    match cause {
        Cause::Slow => listener.manager.close_slow(Duration::ZERO, Duration::ZERO),
        Cause::RaisedLimit => listener.manager.set_options(options((17 + step) * 1024)),
        Cause::NoRoom => others.push(listener.connect().await),
        Cause::Shortage => drop(listener.manager.close_most_stalled_response()),
        Cause::Drain => listener.manager.drain(),
        Cause::Close => {
            let manager = listener.manager.clone();
            spawn_local(async move { manager.all_closed().await });
        }
    }
    yield_now().await;
}

// Guards against a request from a kept connection that is passed on and whose connection is then closed without an
// answer (LOST).
#[test]
fn no_cause_of_closing_ends_a_kept_connection_with_an_open_request() {
    run(async {
        let pairs = CAUSES.iter().flat_map(|first| CAUSES.iter().map(move |second| [*first, *second]));
        for causes in pairs {
            let listener = Listener::start(options(16 * 1024)).await;
            let mut client = listener.connect().await;
            client.request(1).await;
            client.read_head().await;
            assert_eq!(client.read_body(1).await, 1);

            client.send(&format!("GET {HELD_BACK_PATH} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
            listener.held_back.received.notified().await;
            let mut others = Vec::new();
            for (step, cause) in causes.into_iter().enumerate() {
                apply(cause, step, &listener, &mut others).await;
            }
            listener.held_back.released.notify_one();
            client.read_head().await;
            assert_eq!(client.read_body(1).await, 1, "{causes:?}");
        }
    });
}
