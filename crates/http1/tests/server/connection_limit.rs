//! How many connections are open at once.

use crate::support::{patient_options, run, Listener, TEST_TIMEOUT};
use quillpulley_http1::ConnectionOptions;
use tokio::task::yield_now;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 4;
/// The number of clients that wait to be accepted.
const WAITING_CLIENTS: usize = 40;
/// How often other tasks may run while the number of open connections is observed.
const ROUNDS: usize = 200;

/// Guards against a backlog that is accepted at once, beyond the maximum number of connections.
#[test]
fn a_backlog_is_accepted_only_up_to_the_maximum() {
    run(async {
        let options = ConnectionOptions {
            max_connections: MAX_CONNECTIONS,
            idle_grace: TEST_TIMEOUT,
            first_request_grace: TEST_TIMEOUT,
            ..patient_options()
        };
        let (listener, socket) = Listener::bind(options).await;
        let mut waiting = Vec::new();
        for _ in 0..WAITING_CLIENTS {
            waiting.push(listener.connect().await);
        }
        listener.accept(socket, None);
        let mut most_open = 0;
        for _ in 0..ROUNDS {
            yield_now().await;
            most_open = most_open.max(listener.manager.open_count());
        }
        assert_eq!(most_open, MAX_CONNECTIONS);
    });
}
