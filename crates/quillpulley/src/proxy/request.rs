//! A client's request, read whole: what servers get of it, and what the choice of a server goes by.

use super::answer::OwnAnswer;
use super::headers::{self, DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID};
use super::headers::{PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNT};
use super::plan::Plan;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use quillpulley_load_balancer::{Demand, PromptPart};
use std::time::Duration;
use tokio::time::Instant;

/// The longest id of a request: ids are kept while requests are open.
const MAX_ID: usize = 256;
/// A client's deadline began before its request came in, and the answer has the way back to go.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// What a header takes beside its name and value.
const HEADER_OVERHEAD: usize = ": \r\n".len();
const HEXADECIMAL: u32 = 16;

/// What the head of a request says.
pub struct RequestHead {
    /// The method, which goes on unchanged.
    pub method: Method,
    /// Path and query, which go on unchanged.
    pub target: PathAndQuery,
    /// The host, as the client names it.
    pub host: HeaderValue,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// `Quillpulley-Request-Id`.
    pub id: HeaderValue,
    /// How long the client waits, if it says so.
    pub deadline: Option<Duration>,
}

impl RequestHead {
    /// Reads the head of a request.
    pub fn read(head: Parts) -> Result<RequestHead, OwnAnswer> {
        let malformed = || OwnAnswer::closing(StatusCode::BAD_REQUEST);
        let id = headers::single(&head.headers, &REQUEST_ID).filter(|id| usable_id(id)).cloned();
        let id = id.ok_or_else(malformed)?;
        let host = host(&head).ok_or_else(malformed)?;
        let target = head.uri.path_and_query().cloned().ok_or_else(malformed)?;
        let deadline = headers::single_text(&head.headers, &DEADLINE_MS).and_then(milliseconds);
        let mut headers = head.headers;
        headers::remove_connection_headers(&mut headers);
        Ok(RequestHead { method: head.method, target, host, headers, id, deadline })
    }

    /// Returns when the answer is due at the latest, on a route with this time-out.
    pub fn due(&self, arrived: Instant, timeout: Duration) -> Instant {
        let patience = self.deadline.map_or(timeout, |deadline| deadline.saturating_sub(DEADLINE_MARGIN));
        arrived + patience.min(timeout)
    }
}

/// Returns the bytes of a head, but for white space that is not needed.
pub fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.path().len() + head.uri.query().map_or(0, str::len);
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    line + fields.sum::<usize>()
}

fn usable_id(id: &HeaderValue) -> bool {
    !id.is_empty() && id.len() <= MAX_ID
}

/// Returns the host of the target, or else `Host`.
fn host(head: &Parts) -> Option<HeaderValue> {
    match head.uri.host() {
        Some(host) => HeaderValue::from_str(host).ok(),
        None => headers::single(&head.headers, &HOST).cloned(),
    }
}

fn milliseconds(text: &str) -> Option<Duration> {
    let milliseconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}

/// A request that has been read whole.
pub struct ClientRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its head came.
    pub arrived: Instant,
    /// When the answer is due at the latest.
    pub due: Instant,
    /// The parts of its prompt in their order.
    pub prefix: Vec<PromptPart>,
    /// Tokens of its prompt, 0 where it does not say.
    pub prompt_tokens: u32,
    /// The most tokens of its answer, 0 where it does not say.
    pub output_tokens: u32,
}

impl ClientRequest {
    /// With what its head says of the work.
    pub fn new(head: RequestHead, body: Bytes, arrived: Instant, due: Instant) -> Self {
        let prefix = headers::single_text(&head.headers, &PROMPT_PREFIX).map(read_prefix).unwrap_or_default();
        let counts = headers::single_text(&head.headers, &TOKEN_COUNT).and_then(read_counts);
        let (prompt_tokens, output_tokens) = counts.unwrap_or_default();
        ClientRequest { head, body, arrived, due, prefix, prompt_tokens, output_tokens }
    }

    /// `Last-Event-Id` as the client sent it.
    pub fn last_event_id(&self) -> Option<Bytes> {
        let id = headers::single(&self.head.headers, &LAST_EVENT_ID)?;
        Some(Bytes::copy_from_slice(id.as_bytes())).filter(|id| !id.is_empty())
    }

    /// Returns the time that is left for an answer.
    pub fn time_remaining(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Returns the request as a server gets it. `resume_after` is the last event that has been passed on.
    pub fn for_server(&self, instance: &str, resume_after: Option<&[u8]>) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = Uri::from(self.head.target.clone());
        let mut headers = self.head.headers.clone();
        headers.insert(DEADLINE_MS, HeaderValue::from(self.time_remaining().as_millis() as u64));
        headers.insert(EXPECT_INSTANCE, HeaderValue::from_str(instance).ok()?);
        if let Some(id) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from_bytes(id).ok()?);
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// A request with what is to be done with it.
pub struct Job {
    /// The request.
    pub request: ClientRequest,
    /// What is to be done with it.
    pub plan: Plan,
}

impl Job {
    /// Returns what it needs of a server now.
    pub fn demand(&self) -> Demand<'_> {
        let Job { request, plan } = self;
        Demand {
            service: &plan.service,
            homes: &plan.homes,
            prefix: &request.prefix,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            body_bytes: request.body.len(),
            priority: plan.priority,
            objective: plan.objective,
            time_remaining: request.time_remaining(),
            sticky: plan.sticky,
        }
    }
}

/// `5c1e07a2:800,91bd3f06:410`; what cannot be read ends the list.
fn read_prefix(text: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id.trim(), HEXADECIMAL).ok()?,
            tokens: tokens.trim().parse().ok()?,
        })
    };
    text.split(',').map_while(part).collect()
}

/// `1460,80`: tokens of the prompt, and the most out.
fn read_counts(text: &str) -> Option<(u32, u32)> {
    let (prompt, output) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}
