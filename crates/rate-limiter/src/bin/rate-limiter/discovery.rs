//! Discovery: follows the list of servers on a watch, and takes it up again where it broke.

use crate::host::Host;
use crate::limits::CONNECTION_LIMITS;
use crate::log;
use bytes::{Buf, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use quillpulley_http1_client::ClientConnection;
use rate_limiter::{ServerEntry, ServerState, Settings};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

/// An empty line comes every 2 s while nothing changes; when one is this late, the watch is broken. A peer that
/// is cut off never errs: only its silence tells. What discovery tells counts as told 6 s after the silence
/// began, or 4 s after a move, whether or not it arrived: this, two calls without an answer and the module's
/// pauses between them stay below that.
const SILENCE: Duration = Duration::from_millis(2_500);
/// How long a call may take to connect and to bring its first news, where the list comes by itself: it is the
/// agent on this machine that answers, and it does so at once or not at all.
const PUSHED_ANSWER: Duration = Duration::from_secs(1);
/// The same where the list is asked for: one discovery serves all limiters in turn, and works for those that
/// have left too.
const ASKED_ANSWER: Duration = Duration::from_secs(3);
/// The longest pause after a broken watch. The module asks for the list again at the time it finds right; this
/// is a guard only, should it not.
const PAUSE: Duration = Duration::from_secs(60);
/// The longest message; a list of some ten thousand servers fits.
const MAX_MESSAGE: usize = 4 << 20;

/// A message of discovery: the whole list, or what changed.
#[derive(Deserialize)]
pub struct Update {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

/// The entries that can be read. One that cannot must not hide the others: asked for again, the line would be
/// the same.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Instance>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let (mut instances, named) = (Vec::new(), entries.len());
    for entry in entries {
        match Instance::deserialize(entry) {
            Ok(instance) => instances.push(instance),
            Err(e) => log("discovery", format_args!("an entry cannot be read: {e}")),
        }
    }
    // Where none can, the line says nothing: least of all that every server is gone.
    if instances.is_empty() && named > 0 {
        return Err(D::Error::custom("no entry can be read"));
    }
    Ok(instances)
}

/// One server in it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: i64,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl Instance {
    /// The same as the module knows it.
    pub fn entry(&self) -> ServerEntry {
        ServerEntry {
            id: self.instance_id.as_str().into(),
            zone: self.zone.as_str().into(),
            kind: self.machine_type.as_str().into(),
            cell: self.cell,
            state: match self.lifecycle.as_str() {
                "in_service" => ServerState::InService,
                "terminating" => ServerState::Draining,
                // A state that is not known here is no state to send work to.
                _ => ServerState::Removed,
            },
            weight: self.weight.unwrap_or(1.0),
            started_at: self.started_at_ms.filter(|at| *at > 0.0).map(|at| at / 1000.0),
        }
    }
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The address has changed: the watch and every pause before the next one end.
    moved: Notify,
    /// The module asks for the list: the pause between two watches ends.
    pub follow: Notify,
    heard: Notify,
    /// Watches in a row that ended without news.
    failed: Cell<u64>,
    /// How long a call may take to bring its first news.
    answer: Duration,
    open: Rc<Cell<usize>>,
}

impl Discovery {
    pub fn new(address: SocketAddr, settings: &Settings) -> Self {
        Discovery {
            answer: if settings.discovery_on_request { ASKED_ANSWER } else { PUSHED_ANSWER },
            address: Cell::new(address),
            moved: Notify::new(),
            follow: Notify::new(),
            heard: Notify::new(),
            failed: Cell::new(0),
            open: Rc::default(),
        }
    }

    /// Follows the list at another address from now on. The watch on the old one is dropped at once: what it
    /// would still tell, the new one tells too, since it is asked for all after the last version.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// Waits for the first line of a watch.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }

    /// Follows the list for as long as the program runs, from the version that the host starts with.
    pub async fn watch(self: Rc<Self>, host: Rc<Host>, mut after: Option<u64>) {
        loop {
            let broken = async {
                let Err(why) = self.watch_once(&host, self.address.get(), &mut after).await;
                self.complain(&why);
                // What the module asked for before this watch was answered by it.
                let _ = timeout(Duration::ZERO, self.follow.notified()).await;
                host.discovery_broken();
                let _ = timeout(PAUSE, self.follow.notified()).await;
            };
            tokio::select! {
                () = broken => {}
                () = self.moved.notified() => {}
            }
        }
    }

    /// Logs the first failure in a row and then ever fewer: a discovery that is down must not fill the log.
    fn complain(&self, why: &str) {
        let failed = self.failed.replace(self.failed.get() + 1) + 1;
        if failed.is_power_of_two() {
            log("discovery", format_args!("{why} (failure {failed} in a row)"));
        }
    }

    async fn watch_once(
        &self,
        host: &Rc<Host>,
        address: SocketAddr,
        after: &mut Option<u64>,
    ) -> Result<std::convert::Infallible, String> {
        let opening = async {
            let connection = ClientConnection::connect(address, &self.open, CONNECTION_LIMITS).await;
            let mut connection = connection.map_err(|e| format!("no connection: {e}"))?;
            let after = after.map(|v| format!("&after={v}")).unwrap_or_default();
            let request = Request::get(format!("/discovery/hosts?watch=1{after}"));
            let request = request.header(HOST, address.to_string()).body(Full::default());
            let answer = connection.send(request.map_err(|e| e.to_string())?).await;
            let answer = answer.map_err(|_| "the watch broke before its answer".to_string())?;
            Ok::<_, String>((connection, answer))
        };
        let began = Instant::now();
        let opened = timeout_at(began + self.answer, opening).await;
        let (mut connection, answer) = opened.map_err(|_| "no answer in time".to_string())??;
        if answer.status() != StatusCode::OK {
            return Err(format!("the watch was answered {}", answer.status()));
        }
        let mut body = answer.into_body();
        let mut messages = Messages::default();
        // The first message comes with the answer, whether or not anything changed.
        let mut until = began + self.answer;
        loop {
            let frame = timeout_at(until, connection.drive(body.frame())).await;
            let frame = frame.map_err(|_| "the watch fell silent".to_string())?;
            let frame = frame.ok_or("the watch ended")?.map_err(|e| format!("the watch broke: {e}"))?;
            // Once begun, a message has to end in that time too: blank lines may come within one for ever.
            let began = !messages.pending();
            messages.push(frame.data_ref().map_or(&[][..], |data| data));
            while let Some(update) = messages.next()? {
                *after = Some(update.generation);
                host.servers_listed(&update);
            }
            if began || !messages.pending() {
                until = Instant::now() + SILENCE;
            }
            if !messages.pending() {
                self.heard.notify_one();
                let failed = self.failed.replace(0);
                if failed > 0 {
                    log("discovery", format_args!("the watch is back (after {failed} failures)"));
                }
            }
        }
    }
}

/// The messages of a watch: one JSON value after the other, with any white space between and within them, in
/// pieces of any size.
#[derive(Default)]
struct Messages {
    buffer: BytesMut,
    /// What came since it was last read may complete a value: each ends with a brace.
    maybe_whole: bool,
}

impl Messages {
    fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
        self.maybe_whole |= piece.contains(&b'}');
    }

    /// Whether a part of one has come.
    fn pending(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next message that has come whole.
    fn next(&mut self) -> Result<Option<Update>, String> {
        let blank = self.buffer.len() - self.buffer.trim_ascii_start().len();
        self.buffer.advance(blank);
        if self.maybe_whole && !self.buffer.is_empty() {
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Update>();
            match values.next() {
                Some(Ok(update)) => {
                    let end = values.byte_offset();
                    self.buffer.advance(end);
                    return Ok(Some(update));
                }
                Some(Err(e)) if !e.is_eof() => return Err(format!("a message cannot be read: {e}")),
                _ => {}
            }
        }
        self.maybe_whole = false;
        if self.buffer.len() > MAX_MESSAGE {
            return Err("a message is too long".into());
        }
        Ok(None)
    }
}
