//! Servers that play a script on each connection, a word a step.
//!
//! | word | step |
//! | --- | --- |
//! | `request`, `head`, `body` | reads a request, or one part of it |
//! | `ok`, `last`, `chunked`, `bare` | answers: with a length, with `Connection: close`, in chunks, with no length |
//! | `half-head`, `half-body`, `half-chunk` | begins an answer |
//! | `other`, `noise`, `switch` | the answer to another request, no HTTP, a status that nobody asked for |
//! | `hint` | an answer before the answer |
//! | `failed`, `plain-503` and the like | a failure of its own; a status that promises without the mark |
//! | `declined`, `misdirected` | did not run it |
//! | `stream`, `bare-stream`, `event:N`, `part:N`, `end` | the head of a stream, its events, a part of one, its end |
//! | `raw:N` | an event of a stream with no length |
//! | `until:head`, `until:N` | waits until the client has got the head, or the event |
//! | `reset`, `close` | ends the connection |
//! | `mute` | reads until the other side has closed, which may bring the rest of the body and nothing else |
//! | `forget` | meets whatever comes next with a reset, unread |

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

/// The byte that bodies of requests are made of.
pub const BODY_BYTE: u8 = b'w';
const SEAL: &str = "Quillpulley-Response-Seal: seal\r\n";

/// What the servers have seen.
#[derive(Default)]
pub struct Seen {
    scripts: RefCell<VecDeque<String>>,
    /// The ids of requests that may have run, once for each time.
    runs: RefCell<Vec<String>>,
    faults: RefCell<Vec<String>>,
    /// What clients have got, in the words of `until`.
    received: RefCell<Vec<String>>,
    playing: Cell<usize>,
    changed: Notify,
}

impl Seen {
    /// How often a request may have run.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| *run == id).count()
    }

    /// What came that no script expects.
    pub fn faults(&self) -> Vec<String> {
        self.faults.borrow().clone()
    }

    /// Scripts for which no connection has come.
    pub fn unplayed(&self) -> usize {
        self.scripts.borrow().len()
    }

    /// Waits until every script that was begun is over.
    pub async fn until_played(&self) {
        while self.playing.get() > 0 {
            self.changed.notified().await;
        }
    }

    /// A client has got a head, or an event.
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

/// Three servers of the service `one` that share scripts, a connection a script, in the order of connections.
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
            seen.fault("a connection without a script");
            continue;
        };
        seen.playing.set(seen.playing.get() + 1);
        let connection =
            Connection { stream: BufReader::new(stream), seen: seen.clone(), id: String::new(), length: 0 };
        spawn_local(connection.serve(script, instance));
    }
}

/// How a script leaves its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ended {
    Reset,
    Closed,
    /// Open, until the other side closes it.
    Stays,
}

struct Connection {
    stream: BufReader<TcpStream>,
    seen: Rc<Seen>,
    /// Of the request at hand.
    id: String,
    /// The length of its body.
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
                    Some(head) if head.first.starts_with("GET /health") => {
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
                self.seen.fault(format!("{script}: the connection ended at {word}"));
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

    /// Reads the body; false where it does not come whole.
    async fn body(&mut self) -> bool {
        let mut body = vec![0; std::mem::take(&mut self.length)];
        let whole = self.stream.read_exact(&mut body).await.is_ok();
        if whole && body.iter().any(|byte| *byte != BODY_BYTE) {
            self.seen.fault(format!("another body for {}", self.id));
        }
        whole
    }

    async fn mute(&mut self) {
        let mut rest = Vec::new();
        let _ = self.stream.read_to_end(&mut rest).await;
        if rest.len() > self.length || rest.iter().any(|byte| *byte != BODY_BYTE) {
            let rest = String::from_utf8_lossy(&rest[rest.len().saturating_sub(300)..]).into_owned();
            self.seen.fault(format!("bytes that are not the body of {}: {rest}", self.id));
        }
    }

    fn did_not_run(&self) {
        let mut runs = self.seen.runs.borrow_mut();
        let at = runs.iter().rposition(|run| *run == self.id);
        at.into_iter().for_each(|at| drop(runs.remove(at)));
    }

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
            _ => panic!("no step: {word}"),
        };
        self.write(&text).await;
    }

    /// The other side may have closed already.
    async fn write(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes()).await;
    }
}
