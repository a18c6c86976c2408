//! Fake servers that run a script on each connection. Each word of a script is a step:
//!
//! | word | step |
//! | --- | --- |
//! | `request` | reads a complete request |
//! | `head`, `body` | reads the head or the body of a request |
//! | `ok` | responds with 200 and `Content-Length` |
//! | `ok-close` | responds like `ok`, with `Connection: close` |
//! | `chunked` | responds with 200 and a chunked body |
//! | `unframed` | responds with 200 and a body that extends to the end of the connection |
//! | `partial-head`, `partial-body`, `partial-chunk` | writes an incomplete response that ends in this part |
//! | `wrong-id` | writes the response to another request |
//! | `not-http` | writes data that is not HTTP |
//! | `status-101` | responds with 101, which the request did not ask for |
//! | `status-103` | writes an informational response (103), which precedes the final response |
//! | `status-500` | responds with 500 |
//! | `unmarked-503`, `unmarked-429`, `unmarked-408` | responds without `Quillpulley-Not-Executed` |
//! | `not-executed` | responds with 503 and `Quillpulley-Not-Executed`: the request did not execute |
//! | `misdirected` | responds with 421: the request did not execute |
//! | `stream` | writes the head of a chunked stream of events |
//! | `event:N`, `partial:N`, `end` | writes event N, its beginning, or the last chunk of that stream |
//! | `unframed-stream` | writes the head of a stream that extends to the end of the connection |
//! | `raw:N`, `raw-partial:N` | writes event N of that stream, or its beginning |
//! | `until:head`, `until:N` | waits until the client has received the response head, or event N |
//! | `reset`, `close` | closes the connection with a RST, or with a FIN |
//! | `read-to-end` | reads until the proxy closes the connection; only the rest of the body may arrive |
//! | `reset-unread` | waits for data, and resets the connection without reading the data |

use super::message::Message;
use super::server::entry;
use quillpulley_protocol as protocol;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The byte that request bodies consist of.
pub const BODY_BYTE: u8 = b'w';
const SEAL: &str = "Quillpulley-Response-Seal: seal\r\n";

/// The state that the scripted servers share with the test: the scripts and what was observed.
#[derive(Default)]
pub struct ScriptState {
    /// The scripts that no connection has started yet.
    scripts: RefCell<VecDeque<String>>,
    /// The ids of requests that may have executed, with one entry per execution.
    executions: RefCell<Vec<String>>,
    /// What the proxy did that no script allows.
    violations: RefCell<Vec<String>>,
    /// What clients have received, as the arguments of `until`: `head` or the id of an event.
    received: RefCell<Vec<String>>,
    /// The number of scripts that have started and not ended.
    running_scripts: Cell<usize>,
    changed: Notify,
}

impl ScriptState {
    /// Returns how often a request may have executed.
    pub fn execution_count(&self, id: &str) -> usize {
        self.executions.borrow().iter().filter(|executed| *executed == id).count()
    }

    /// Returns what the proxy did that no script allows.
    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// Returns the number of scripts that no connection has started.
    pub fn unstarted_scripts(&self) -> usize {
        self.scripts.borrow().len()
    }

    /// Waits until every script that has started has ended.
    pub async fn wait_until_scripts_end(&self) {
        while self.running_scripts.get() > 0 {
            self.changed.notified().await;
        }
    }

    /// Records that a client has received a response head or an event, as the argument of `until`.
    pub fn record_received(&self, what: &str) {
        self.received.borrow_mut().push(what.to_string());
        self.changed.notify_waiters();
    }

    async fn wait_until_received(&self, what: &str) {
        while !self.received.borrow().iter().any(|item| item == what) {
            self.changed.notified().await;
        }
    }

    fn record_violation(&self, what: impl Into<String>) {
        self.violations.borrow_mut().push(what.into());
    }
}

/// Three servers of the service `one`. Each connection to any of them runs the next script; a health check
/// does not use up its script.
pub struct ScriptedServers {
    pub state: Rc<ScriptState>,
    pub entries: Vec<protocol::Server>,
}

impl ScriptedServers {
    pub async fn start(scripts: impl IntoIterator<Item = String>) -> ScriptedServers {
        let state = Rc::new(ScriptState::default());
        state.scripts.borrow_mut().extend(scripts);
        let mut entries = Vec::new();
        for id in ["i-1", "i-2", "i-3"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            entries.push(entry(id, "one", listener.local_addr().expect("address")));
            spawn_local(accept(listener, id, state.clone()));
        }
        ScriptedServers { state, entries }
    }
}

async fn accept(listener: TcpListener, instance: &'static str, state: Rc<ScriptState>) {
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).expect("nodelay");
        let Some(script) = state.scripts.borrow_mut().pop_front() else {
            state.record_violation("the proxy opened a connection that no script was left for");
            continue;
        };
        state.running_scripts.set(state.running_scripts.get() + 1);
        let connection = Connection {
            stream: BufReader::new(stream),
            state: state.clone(),
            id: String::new(),
            remaining_body_bytes: 0,
        };
        spawn_local(connection.serve(script, instance));
    }
}

/// What happens to the connection when its script ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ScriptEnd {
    Reset,
    Closed,
    /// The connection stays open until the proxy closes it.
    Open,
}

struct Connection {
    stream: BufReader<TcpStream>,
    state: Rc<ScriptState>,
    /// The id of the current request.
    id: String,
    /// The number of bytes of its body that have not been read.
    remaining_body_bytes: usize,
}

impl Connection {
    async fn serve(mut self, script: String, instance: &'static str) {
        let state = self.state.clone();
        let end = self.run_script(&script, instance).await;
        if end == ScriptEnd::Reset {
            SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("linger");
        }
        let left_open = (end == ScriptEnd::Open).then_some(self);
        state.running_scripts.set(state.running_scripts.get() - 1);
        state.changed.notify_waiters();
        if let Some(mut connection) = left_open {
            connection.read_to_end_checked().await;
        }
    }

    async fn run_script(&mut self, script: &str, instance: &str) -> ScriptEnd {
        for word in script.split_whitespace() {
            let read = match word {
                "reset" => return ScriptEnd::Reset,
                "close" => return ScriptEnd::Closed,
                "read-to-end" => {
                    self.read_to_end_checked().await;
                    return ScriptEnd::Closed;
                }
                "reset-unread" => {
                    let _ = self.stream.get_ref().peek(&mut [0]).await;
                    return ScriptEnd::Reset;
                }
                "request" | "head" => match Message::read_head(&mut self.stream).await {
                    Some(head) if head.first_line.starts_with("GET /health") => {
                        self.state.scripts.borrow_mut().push_front(script.to_string());
                        self.respond_to_health_check(instance).await;
                        return ScriptEnd::Closed;
                    }
                    Some(head) => {
                        self.begin_request(head);
                        word == "head" || self.read_body().await
                    }
                    None => false,
                },
                "body" => self.read_body().await,
                word => {
                    self.write_step(word).await;
                    true
                }
            };
            if !read {
                self.state.record_violation(format!("{script}: the connection ended during the step {word}"));
                return ScriptEnd::Closed;
            }
        }
        ScriptEnd::Open
    }

    async fn respond_to_health_check(&mut self, instance: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nQuillpulley-Instance-Id: {instance}\r\n");
        self.write(&format!("{head}Content-Length: 0\r\nConnection: close\r\n\r\n")).await;
    }

    fn begin_request(&mut self, head: Message) {
        self.id = head.header("quillpulley-request-id").unwrap_or_default().to_string();
        self.remaining_body_bytes =
            head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.state.executions.borrow_mut().push(self.id.clone());
    }

    /// Reads the body of the request. Returns false if the connection ends first.
    async fn read_body(&mut self) -> bool {
        let mut body = vec![0; std::mem::take(&mut self.remaining_body_bytes)];
        let is_complete = self.stream.read_exact(&mut body).await.is_ok();
        if is_complete && body.iter().any(|byte| *byte != BODY_BYTE) {
            self.state.record_violation(format!("the body of {} was changed", self.id));
        }
        is_complete
    }

    /// Reads until the proxy closes the connection, and checks that only the rest of the body arrives.
    async fn read_to_end_checked(&mut self) {
        let mut rest = Vec::new();
        let _ = self.stream.read_to_end(&mut rest).await;
        if rest.len() > self.remaining_body_bytes || rest.iter().any(|byte| *byte != BODY_BYTE) {
            let rest = String::from_utf8_lossy(&rest[rest.len().saturating_sub(300)..]).into_owned();
            self.state.record_violation(format!("received data that is not the body of {}: {rest}", self.id));
        }
    }

    /// Removes the latest execution of the current request, which the response says was not executed.
    fn remove_execution(&self) {
        let mut executions = self.state.executions.borrow_mut();
        let at = executions.iter().rposition(|executed| *executed == self.id);
        at.into_iter().for_each(|at| drop(executions.remove(at)));
    }

    /// Performs a step that writes a response or a part of it, or waits for the client.
    async fn write_step(&mut self, word: &str) {
        if let Some(what) = word.strip_prefix("until:") {
            return self.state.wait_until_received(what).await;
        }
        let id = self.id.clone();
        let id_header = format!("Quillpulley-Request-Id: {id}\r\n");
        let sealed_head = format!("HTTP/1.1 200 OK\r\n{id_header}{SEAL}");
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let sized = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
        let (name, number) = word.split_once(':').unwrap_or((word, ""));
        let event = format!("id: {number}\ndata: {number}\n\n");
        let text = match name {
            "ok" => format!("{sealed_head}Keep-Alive: timeout=60\r\n{}", sized(&id)),
            "ok-close" => format!("{sealed_head}Connection: close\r\n{}", sized(&id)),
            "chunked" => format!("{sealed_head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk(&id)),
            "unframed" => format!("{sealed_head}\r\n{id}"),
            "partial-head" => "HTTP/1.1 200 OK\r\nQuillpulley-Re".to_string(),
            "partial-body" => format!("{sealed_head}Content-Length: 100\r\n\r\n{id}"),
            "partial-chunk" => format!("{sealed_head}Transfer-Encoding: chunked\r\n\r\n{}", chunk(&id)),
            "wrong-id" => {
                format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: another\r\n{SEAL}{}", sized("another"))
            }
            "not-http" => "no HTTP at all\r\n\r\n".to_string(),
            "status-101" => format!("HTTP/1.1 101 Switching Protocols\r\n{id_header}{SEAL}\r\n"),
            "status-103" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_string(),
            "status-500" => format!("HTTP/1.1 500 Internal Server Error\r\n{id_header}{SEAL}{}", sized(&id)),
            "unmarked-503" | "unmarked-429" | "unmarked-408" => {
                let status = &name["unmarked-".len()..];
                format!("HTTP/1.1 {status} No\r\n{id_header}{SEAL}{}", sized(&id))
            }
            "not-executed" => {
                self.remove_execution();
                let not_executed = "Quillpulley-Not-Executed: full\r\n";
                format!("HTTP/1.1 503 Service Unavailable\r\n{id_header}{not_executed}{}", sized("full"))
            }
            "misdirected" => {
                self.remove_execution();
                format!("HTTP/1.1 421 Misdirected Request\r\n{id_header}{}", sized(""))
            }
            "stream" => {
                format!("{sealed_head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            }
            "unframed-stream" => format!("{sealed_head}Content-Type: text/event-stream\r\n\r\n"),
            "event" => chunk(&event),
            "partial" => chunk(&event[..event.len() - 3]),
            "raw" => event,
            "raw-partial" => event[..event.len() - 3].to_string(),
            "end" => "0\r\n\r\n".to_string(),
            _ => panic!("unknown step: {word}"),
        };
        self.write(&text).await;
    }

    /// Writes to the connection. Errors are ignored, since the proxy may have closed it already.
    async fn write(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes()).await;
    }
}
