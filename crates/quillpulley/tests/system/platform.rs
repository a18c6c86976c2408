//! A simulated platform API that lists the servers.

use crate::server::Server;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use tiny_http::{Header, Response};

/// An HTTP server with the list of servers, which runs until the test process ends.
pub struct Platform {
    calls: Arc<AtomicU64>,
}

impl Platform {
    /// Starts an API that lists these servers.
    pub fn start(address: SocketAddr, servers: &[&Server]) -> Platform {
        let entries: Vec<String> = servers.iter().map(|server| server.entry()).collect();
        let list = format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","));
        let calls = Arc::new(AtomicU64::new(0));
        let counted = calls.clone();
        let http = tiny_http::Server::http(address).expect("a free port");
        thread::spawn(move || {
            for request in http.incoming_requests() {
                counted.fetch_add(1, Ordering::Relaxed);
                let json = Header::from_bytes("Content-Type", "application/json").expect("a header");
                let _ = request.respond(Response::from_string(list.clone()).with_header(json));
            }
        });
        Platform { calls }
    }

    /// Returns the number of requests for the list.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}
