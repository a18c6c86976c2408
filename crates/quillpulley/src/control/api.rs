//! The operator's API: reads calls, hands them to the main thread, and writes its answers.
//!
//! A few threads read requests; none of them waits for an answer. The main thread decides, and a few other
//! threads write, so that neither a slow caller nor an order under way holds up the rest. Right before an answer is
//! written its writer looks at the clock: once the lease on which the answer rests has ended, the caller is told to
//! come back instead.

use super::clock::Clock;
use super::http::{self, Handler, JsonAnswer};
use super::orders::{Answer, Order};
use super::timed_answer::TimedAnswer;
use crate::HostError;
use simd_json::prelude::Writable;
use std::io::Read;
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tiny_http::{Method, Request};

/// The longest body of a call.
pub const MAX_BODY: usize = 4_500_000;
/// When a caller without a clear answer is asked to come back, in seconds.
const RETRY_AFTER_S: &str = "0.2";
const READERS: usize = 6;
const WRITERS: usize = 2;
const BASE_HEADER: &str = "Quillpulley-If-Config-Version";

/// A call of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// An order to be taken.
    Order(Order),
    /// Asks for the newest configuration.
    ReadConfiguration,
    /// Asks this process what it knows of the core.
    ReadStatus,
}

/// A call with what answers it.
pub struct ApiCall {
    /// What is asked for.
    pub call: Call,
    /// Answers the caller.
    pub reply: Reply,
}

/// Answers one call; if it is dropped unused, the caller gets a 500.
pub struct Reply {
    request: Request,
    answers: Sender<Written>,
}

struct Written {
    request: Request,
    answer: TimedAnswer,
}

impl Reply {
    /// Has the answer written by another thread, if it is still valid then.
    pub fn send(self, answer: TimedAnswer) {
        let written = Written { request: self.request, answer };
        if self.answers.send(written).is_err() {
            log::warn!("no thread is left to answer the operator");
        }
    }
}

/// Deliberate faults, for tests only.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answers are written without a look at the clock.
    pub write_without_look: bool,
}

/// Serves the API on `listener`. `deliver` hands a call to the main thread and gives it back if that takes no
/// more. Answers are valid by `clock`.
///
/// # Errors
/// [`HostError::Runtime`] if the threads cannot be started.
pub fn serve<D>(listener: TcpListener, clock: Clock, deliver: D) -> Result<(), HostError>
where
    D: Fn(Box<ApiCall>) -> Result<(), Box<ApiCall>> + Send + Sync + 'static,
{
    serve_with_faults(listener, clock, Faults::default(), deliver)
}

/// Serves with faults built in.
#[doc(hidden)]
pub fn serve_with_faults<D>(
    listener: TcpListener,
    clock: Clock,
    faults: Faults,
    deliver: D,
) -> Result<(), HostError>
where
    D: Fn(Box<ApiCall>) -> Result<(), Box<ApiCall>> + Send + Sync + 'static,
{
    let (answers, written) = mpsc::channel();
    let writer = Writer { written: Arc::new(Mutex::new(written)), clock, faults };
    for _ in 0..WRITERS {
        let writer = writer.clone();
        thread::Builder::new().spawn(move || writer.write_all()).map_err(HostError::Runtime)?;
    }
    let handler: Handler = Arc::new(move |request| take_request(request, &answers, &deliver));
    http::serve(listener, READERS, handler)
}

/// What the threads that write answers share.
#[derive(Clone)]
struct Writer {
    written: Arc<Mutex<Receiver<Written>>>,
    clock: Clock,
    faults: Faults,
}

impl Writer {
    fn write_all(&self) {
        loop {
            let next = self.written.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(Written { request, answer }) = next else { return };
            self.write(request, answer);
        }
    }

    fn write(&self, request: Request, answer: TimedAnswer) {
        let now = if self.faults.write_without_look { Duration::ZERO } else { self.clock.now() };
        let answer = render(request.url(), answer.at(now));
        http::respond(request, answer);
    }
}

fn take_request<D>(mut request: Request, answers: &Sender<Written>, deliver: &D)
where
    D: Fn(Box<ApiCall>) -> Result<(), Box<ApiCall>>,
{
    match parse_call(&mut request) {
        Ok(call) => {
            let reply = Reply { request, answers: answers.clone() };
            if let Err(refused) = deliver(Box::new(ApiCall { call, reply })) {
                refused.reply.send(TimedAnswer::lasting(Answer::Unavailable));
            }
        }
        Err(Unusable::Refuse { status, why }) => http::respond(request, refusal(status, &why)),
        Err(Unusable::Unread(why)) => log::debug!("a call of the operator was not read whole: {why}"),
    }
}

enum Unusable {
    Refuse { status: u16, why: String },
    Unread(String),
}

impl Unusable {
    fn refuse(status: u16, why: impl Into<String>) -> Self {
        Unusable::Refuse { status, why: why.into() }
    }
}

fn parse_call(request: &mut Request) -> Result<Call, Unusable> {
    let path = http::path(request.url()).to_string();
    let method = request.method().clone();
    let call = path.strip_prefix("/v1/").unwrap_or_default();
    match call.split_once('/').unwrap_or((call, "")) {
        ("Config.Replace", "") => {
            expect_method(&method, Method::Post)?;
            parse_replace(request)
        }
        ("Config.Get", "") => expect_method(&method, Method::Get).map(|()| Call::ReadConfiguration),
        ("Control.Status", "") => expect_method(&method, Method::Get).map(|()| Call::ReadStatus),
        ("Evacuate.Start", zone) => {
            expect_method(&method, Method::Post).and_then(|()| parse_evacuation(zone, true))
        }
        ("Evacuate.End", zone) => {
            expect_method(&method, Method::Post).and_then(|()| parse_evacuation(zone, false))
        }
        _ => Err(Unusable::refuse(404, format!("there is no {path}: see the operator's API"))),
    }
}

fn expect_method(method: &Method, expected: Method) -> Result<(), Unusable> {
    if *method == expected {
        return Ok(());
    }
    Err(Unusable::refuse(405, format!("{method} is not taken here: send a {expected}")))
}

fn parse_replace(request: &mut Request) -> Result<Call, Unusable> {
    let base = http::header(request, BASE_HEADER).and_then(|value| value.trim().parse().ok());
    let body = read_body(request)?;
    let base = base.ok_or_else(|| {
        Unusable::refuse(400, format!("{BASE_HEADER} is missing or no number: send the version it builds on"))
    })?;
    Ok(Call::Order(Order::Replace { base, body }))
}

fn parse_evacuation(zone: &str, active: bool) -> Result<Call, Unusable> {
    let zone = http::percent_decode(zone);
    if zone.is_empty() || zone.contains('/') {
        return Err(Unusable::refuse(400, "the zone's name is missing: add it to the path"));
    }
    Ok(Call::Order(Order::Evacuate { zone, active }))
}

/// Reads a whole body. One that ends before its length is never taken.
fn read_body(request: &mut Request) -> Result<Vec<u8>, Unusable> {
    let length = request.body_length();
    if length.is_some_and(|length| length > MAX_BODY) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    let mut limited = request.as_reader().take(MAX_BODY as u64 + 1);
    limited.read_to_end(&mut body).map_err(|error| Unusable::Unread(error.to_string()))?;
    if body.len() > MAX_BODY {
        return Err(too_large());
    }
    match length {
        Some(length) if length != body.len() => {
            Err(Unusable::Unread(format!("{} of {length} bytes came", body.len())))
        }
        _ => Ok(body),
    }
}

fn too_large() -> Unusable {
    Unusable::refuse(413, format!("the body is longer than {MAX_BODY} bytes: send a smaller configuration"))
}

fn render(url: &str, answer: Answer) -> JsonAnswer {
    match answer {
        Answer::Done => JsonAnswer::new(200, b"{}".to_vec()),
        Answer::Configuration(body) => JsonAnswer::new(200, body.to_vec()),
        Answer::Status(body) => JsonAnswer::new(200, body),
        Answer::NoConfiguration => refusal(404, "no configuration has been taken yet"),
        Answer::Conflict { current } => {
            refusal(412, &format!("version {current} is in place: read it and build on it"))
        }
        Answer::Forgotten { oldest } => no_clear_answer(&format!(
            "what was taken on versions below {oldest} is forgotten: read the configuration in force"
        )),
        Answer::Invalid(why) => refusal(400, &why),
        Answer::Redirect(primary) => {
            let location = format!("http://{primary}{url}");
            JsonAnswer::new(307, b"{}".to_vec()).with_header("Location", location)
        }
        Answer::Unavailable => no_clear_answer("no primary has confirmed this: send it again"),
    }
}

fn no_clear_answer(why: &str) -> JsonAnswer {
    refusal(503, why).with_header("Retry-After", RETRY_AFTER_S)
}

fn refusal(status: u16, why: &str) -> JsonAnswer {
    let body = simd_json::json!({ "Error": why });
    JsonAnswer::new(status, body.encode().into_bytes())
}
