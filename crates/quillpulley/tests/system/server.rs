//! A simulated server that responds with a short text or a stream of events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use tiny_http::{Header, Request, Response, StatusCode};

/// The events of the response to requests for paths below `/copy/`.
pub const EVENTS: [&str; 3] =
    ["id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\nevent: done\ndata: three\n\n"];

/// The number of executions of each request, by request id.
type Executions = Arc<Mutex<BTreeMap<String, u32>>>;

/// An HTTP server that runs until the test process ends.
pub struct Server {
    id: &'static str,
    service: &'static str,
    address: SocketAddr,
    executions: Executions,
}

impl Server {
    /// Starts a server with four threads.
    pub fn start(address: SocketAddr, id: &'static str, service: &'static str) -> Server {
        let http = Arc::new(tiny_http::Server::http(address).expect("a free port"));
        let executions = Executions::default();
        for _ in 0..4 {
            let (http, executions) = (http.clone(), executions.clone());
            thread::spawn(move || {
                http.incoming_requests().for_each(|request| respond(request, id, &executions))
            });
        }
        Server { id, service, address, executions }
    }

    /// Returns the entry of the server in the platform's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-1\",\"Version\":\"v1\",\"Slots\":64,\
             \"State\":\"ready\",\"WarmupLeftMs\":0,\"Id\":\"{}\"}}",
            self.service, self.address, self.id
        )
    }

    /// Returns how often the server has executed a request.
    pub fn executions(&self, request_id: &str) -> u32 {
        self.executions.lock().expect("the mutex is not poisoned").get(request_id).copied().unwrap_or(0)
    }
}

fn respond(mut request: Request, id: &str, executions: &Executions) {
    let mut body = Vec::new();
    let is_complete = request.as_reader().read_to_end(&mut body).is_ok();
    let request_id = header(&request, "Quillpulley-Request-Id").unwrap_or_default();
    let expected = header(&request, "Quillpulley-Expect-Instance");
    let url = request.url().to_string();
    let response = if url == "/health" {
        text("").with_header(header_field("Quillpulley-Instance-Id", id))
    } else if expected.is_some_and(|expected| expected != id) {
        text("").with_status_code(StatusCode(421)).with_header(header_field("Quillpulley-Not-Executed", "1"))
    } else {
        *executions.lock().expect("the mutex is not poisoned").entry(request_id.clone()).or_default() +=
            u32::from(is_complete);
        serve_request(&url, id).with_header(header_field("Quillpulley-Request-Id", &request_id))
    };
    // Responding fails if the client has disconnected.
    let _ = request.respond(response);
}

fn serve_request(url: &str, id: &str) -> Response<std::io::Cursor<Vec<u8>>> {
    let response = match url.starts_with("/copy/") {
        true => text(&EVENTS.concat()).with_header(header_field("Content-Type", "text/event-stream")),
        false => text("a card").with_header(header_field("Content-Type", "text/plain")),
    };
    response.with_header(header_field("Quillpulley-Response-Seal", &format!("seal-{id}")))
}

fn text(body: &str) -> Response<std::io::Cursor<Vec<u8>>> {
    Response::from_data(body)
}

fn header_field(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("a header")
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let header = request.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.to_string())
}
