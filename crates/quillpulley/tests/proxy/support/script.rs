//! Fake servers that run a script on each connection. Each word of a script is a step:
//!
//! | word | step |
//! | --- | --- |
//! | `request` | reads a complete request |
//! | `head`, `body` | reads the head or the body of a request |
//! | `ok` | responds with 200 and `Content-Length` |
//! | `last` | responds like `ok`, with `Connection: close` |
//! | `chunked` | responds with 200 and a chunked body |
//! | `bare` | responds with 200 and a body that extends to the end of the connection |
//! | `half-head`, `half-body`, `half-chunk` | writes an incomplete response that ends in this part |
//! | `other` | writes the response to another request |
//! | `noise` | writes data that is not HTTP |
//! | `switch` | responds with 101, which the request did not ask for |
//! | `hint` | writes an informational response (103), which precedes the final response |
//! | `failed` | responds with 500 |
//! | `plain-503`, `plain-429`, `plain-408` | responds with this status without `Quillpulley-Not-Executed` |
//! | `declined` | responds with 503 and `Quillpulley-Not-Executed`: the request did not execute |
//! | `misdirected` | responds with 421: the request did not execute |
//! | `stream` | writes the head of a chunked stream of events |
//! | `event:N`, `part:N`, `end` | writes event N, the beginning of event N, or the last chunk of that stream |
//! | `bare-stream` | writes the head of a stream that extends to the end of the connection |
//! | `raw:N` | writes event N of that stream |
//! | `until:head`, `until:N` | waits until the client has received the response head, or event N |
//! | `reset`, `close` | closes the connection with a RST, or with a FIN |
//! | `mute` | reads until the proxy closes the connection; only the rest of the body may arrive |
//! | `forget` | waits for data, and resets the connection without reading the data |

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
pub struct Seen {
    /// The scripts that no connection has started yet.
    scripts: RefCell<VecDeque<String>>,
    /// The id of every request that may have executed, once per execution.
    runs: RefCell<Vec<String>>,
    /// What the proxy did that no script allows.
    faults: RefCell<Vec<String>>,
    /// What clients have received, as the arguments of `until`: `head` or the id of an event.
    received: RefCell<Vec<String>>,
    /// The number of scripts that have started and not ended.
    playing: Cell<usize>,
    changed: Notify,
}

impl Seen {
    /// Returns how often a request may have executed.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| *run == id).count()
    }

    /// Returns what the proxy did that no script allows.
    pub fn faults(&self) -> Vec<String> {
        self.faults.borrow().clone()
    }

    /// Returns the number of scripts that no connection has started.
    pub fn unplayed(&self) -> usize {
        self.scripts.borrow().len()
    }

    /// Waits until every script that has started has ended.
    pub async fn until_played(&self) {
        while self.playing.get() > 0 {
            self.changed.notified().await;
        }
    }

    /// Records that a client has received a response head or an event, as the argument of `until`.
    pub fn received(&self, what: &str) {
        self.received.borrow_mut().push(what.to_string());
        self.changed.notify_waiters();
    }

    async fn until_received(&self, what: &str) {
        while !self.received.borrow().iter().any(|got| got == what) {
            self.changed.notified().await;
        }
    }

    fn fault(&self, what: impl Into<String>) {
        self.faults.borrow_mut().push(what.into());
    }
}

/// Three servers of the service `one`. Each connection to any of them runs the next script; a health check
/// does not use up its script.
pub struct ScriptedServers {
    pub seen: Rc<Seen>,
    pub entries: Vec<protocol::Server>,
}

impl ScriptedServers {
    pub async fn start(scripts: impl IntoIterator<Item = String>) -> ScriptedServers {
        let seen = Rc::new(Seen::default());
        seen.scripts.borrow_mut().extend(scripts);
        let mut entries = Vec::new();
        for id in ["i-1", "i-2", "i-3"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            entries.push(entry(id, "one", listener.local_addr().expect("address")));
            spawn_local(accept(listener, id, seen.clone()));
        }
        ScriptedServers { seen, entries }
    }
}

async fn accept(listener: TcpListener, instance: &'static str, seen: Rc<Seen>) {
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).expect("nodelay");
        let Some(script) = seen.scripts.borrow_mut().pop_front() else {
            seen.fault("the proxy opened a connection that no script was left for");
            continue;
        };
        seen.playing.set(seen.playing.get() + 1);
        let connection =
            Connection { stream: BufReader::new(stream), seen: seen.clone(), id: String::new(), length: 0 };
        spawn_local(connection.serve(script, instance));
    }
}

/// What happens to the connection when its script ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ended {
    Reset,
    Closed,
    /// The connection stays open until the proxy closes it.
    Stays,
}

struct Connection {
    stream: BufReader<TcpStream>,
    seen: Rc<Seen>,
    /// The id of the current request.
    id: String,
    /// The number of bytes of its body that have not been read.
    length: usize,
}

impl Connection {
    async fn serve(mut self, script: String, instance: &'static str) {
        let seen = self.seen.clone();
        let ended = self.play(&script, instance).await;
        if ended == Ended::Reset {
            SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("linger");
        }
        let stays = (ended == Ended::Stays).then_some(self);
        seen.playing.set(seen.playing.get() - 1);
        seen.changed.notify_waiters();
        if let Some(mut connection) = stays {
            connection.mute().await;
        }
    }

    async fn play(&mut self, script: &str, instance: &str) -> Ended {
        for word in script.split_whitespace() {
            let read = match word {
                "reset" => return Ended::Reset,
                "close" => return Ended::Closed,
                "mute" => {
                    self.mute().await;
                    return Ended::Closed;
                }
                "forget" => {
                    let _ = self.stream.get_ref().peek(&mut [0]).await;
                    return Ended::Reset;
                }
                "request" | "head" => match Message::read_head(&mut self.stream).await {
                    Some(head) if head.first_line.starts_with("GET /health") => {
                        self.seen.scripts.borrow_mut().push_front(script.to_string());
                        self.answer_check(instance).await;
                        return Ended::Closed;
                    }
                    Some(head) => {
                        self.begin(head);
                        word == "head" || self.body().await
                    }
                    None => false,
                },
                "body" => self.body().await,
                word => {
                    self.answer(word).await;
                    true
                }
            };
            if !read {
                self.seen.fault(format!("{script}: the connection ended during the step {word}"));
                return Ended::Closed;
            }
        }
        Ended::Stays
    }

    async fn answer_check(&mut self, instance: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nQuillpulley-Instance-Id: {instance}\r\n");
        self.write(&format!("{head}Content-Length: 0\r\nConnection: close\r\n\r\n")).await;
    }

    fn begin(&mut self, head: Message) {
        self.id = head.header("quillpulley-request-id").unwrap_or_default().to_string();
        self.length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.seen.runs.borrow_mut().push(self.id.clone());
    }

    /// Reads the body of the request. Returns false if the connection ends first.
    async fn body(&mut self) -> bool {
        let mut body = vec![0; std::mem::take(&mut self.length)];
        let whole = self.stream.read_exact(&mut body).await.is_ok();
        if whole && body.iter().any(|byte| *byte != BODY_BYTE) {
            self.seen.fault(format!("the body of {} was changed", self.id));
        }
        whole
    }

    /// Reads until the proxy closes the connection, and checks that only the rest of the body arrives.
    async fn mute(&mut self) {
        let mut rest = Vec::new();
        let _ = self.stream.read_to_end(&mut rest).await;
        if rest.len() > self.length || rest.iter().any(|byte| *byte != BODY_BYTE) {
            let rest = String::from_utf8_lossy(&rest[rest.len().saturating_sub(300)..]).into_owned();
            self.seen.fault(format!("received data that is not the body of {}: {rest}", self.id));
        }
    }

    /// Removes the latest execution of the current request, which the response says was not executed.
    fn did_not_run(&self) {
        let mut runs = self.seen.runs.borrow_mut();
        let at = runs.iter().rposition(|run| *run == self.id);
        at.into_iter().for_each(|at| drop(runs.remove(at)));
    }

    /// Performs a step that writes a response or a part of it, or waits for the client.
    async fn answer(&mut self, word: &str) {
        if let Some(what) = word.strip_prefix("until:") {
            return self.seen.until_received(what).await;
        }
        let id = self.id.clone();
        let own = format!("Quillpulley-Request-Id: {id}\r\n");
        let sealed = format!("HTTP/1.1 200 OK\r\n{own}{SEAL}");
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let length = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
        let (name, number) = word.split_once(':').unwrap_or((word, ""));
        let event = format!("id: {number}\ndata: {number}\n\n");
        let text = match name {
            "ok" => format!("{sealed}Keep-Alive: timeout=60\r\n{}", length(&id)),
            "last" => format!("{sealed}Connection: close\r\n{}", length(&id)),
            "chunked" => format!("{sealed}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk(&id)),
            "bare" => format!("{sealed}\r\n{id}"),
            "half-head" => "HTTP/1.1 200 OK\r\nQuillpulley-Re".to_string(),
            "half-body" => format!("{sealed}Content-Length: 100\r\n\r\n{id}"),
            "half-chunk" => format!("{sealed}Transfer-Encoding: chunked\r\n\r\n{}", chunk(&id)),
            "other" => {
                format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: another\r\n{SEAL}{}", length("another"))
            }
            "noise" => "no HTTP at all\r\n\r\n".to_string(),
            "switch" => format!("HTTP/1.1 101 Switching Protocols\r\n{own}{SEAL}\r\n"),
            "hint" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_string(),
            "failed" => format!("HTTP/1.1 500 Internal Server Error\r\n{own}{SEAL}{}", length(&id)),
            "plain-503" | "plain-429" | "plain-408" => {
                let status = &name["plain-".len()..];
                format!("HTTP/1.1 {status} No\r\n{own}{SEAL}{}", length(&id))
            }
            "declined" => {
                self.did_not_run();
                let mark = "Quillpulley-Not-Executed: full\r\n";
                format!("HTTP/1.1 503 Service Unavailable\r\n{own}{mark}{}", length("full"))
            }
            "misdirected" => {
                self.did_not_run();
                format!("HTTP/1.1 421 Misdirected Request\r\n{own}{}", length(""))
            }
            "stream" => {
                format!("{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            }
            "bare-stream" => format!("{sealed}Content-Type: text/event-stream\r\n\r\n"),
            "event" => chunk(&event),
            "part" => chunk(&event[..event.len() - 3]),
            "raw" => event,
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
