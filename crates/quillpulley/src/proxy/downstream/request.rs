//! A client's request: the request that is sent to servers, and its demand for the load balancer.

use crate::proxy::config::active_config::RouteDecision;
use crate::proxy::downstream::local_response::LocalResponse;
use crate::proxy::headers::{self, DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID};
use crate::proxy::headers::{PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNT};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use quillpulley_load_balancer::{Demand, PromptSegment};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a request id, in bytes: ids are kept in memory while requests are open.
const MAX_ID_BYTES: usize = 256;
/// Subtracted from the client's timeout, which started before the request arrived, and includes the time that
/// the response takes to reach the client.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Bytes of a header field in addition to its name and value.
const HEADER_OVERHEAD: usize = ": \r\n".len();
const HEXADECIMAL_RADIX: u32 = 16;

/// The head of a request.
pub struct RequestHead {
    /// The method, which is forwarded unchanged.
    pub method: Method,
    /// Path and query, which are forwarded unchanged.
    pub target: PathAndQuery,
    /// The host of the request target, or else the `Host` header.
    pub host: HeaderValue,
    /// The headers to forward, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// `Quillpulley-Request-Id`, 1 to 256 bytes long.
    pub id: HeaderValue,
    /// `Quillpulley-Deadline-Ms`: how long the client waits. `None` if the header is missing or invalid.
    pub client_timeout: Option<Duration>,
}

impl RequestHead {
    /// Reads and validates the head of a request.
    ///
    /// # Errors
    /// The response to the client if the id, the host or the path is missing or invalid.
    pub fn read(head: Parts) -> Result<RequestHead, LocalResponse> {
        let malformed = || LocalResponse::closing(StatusCode::BAD_REQUEST);
        let id = headers::single(&head.headers, &REQUEST_ID).filter(|id| is_valid_id(id)).cloned();
        let id = id.ok_or_else(malformed)?;
        let host = host(&head).ok_or_else(malformed)?;
        let target = head.uri.path_and_query().cloned().ok_or_else(malformed)?;
        let client_timeout = headers::single_text(&head.headers, &DEADLINE_MS).and_then(parse_milliseconds);
        let mut headers = head.headers;
        headers::remove_connection_headers(&mut headers);
        Ok(RequestHead { method: head.method, target, host, headers, id, client_timeout })
    }

    /// Returns the deadline of the response: when the timeout of the route or of the client ends, whichever
    /// is first.
    pub fn deadline(&self, arrived: Instant, timeout: Duration) -> Instant {
        let client_time_left = self
            .client_timeout
            .map_or(timeout, |client_timeout| client_timeout.saturating_sub(DEADLINE_MARGIN));
        arrived + client_time_left.min(timeout)
    }
}

/// Returns the size of a head in bytes, not counting optional white space.
pub fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.path().len() + head.uri.query().map_or(0, str::len);
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    line + fields.sum::<usize>()
}

fn is_valid_id(id: &HeaderValue) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_BYTES
}

/// Returns the host of the request target, or else the `Host` header.
fn host(head: &Parts) -> Option<HeaderValue> {
    match head.uri.host() {
        Some(host) => HeaderValue::from_str(host).ok(),
        None => headers::single(&head.headers, &HOST).cloned(),
    }
}

fn parse_milliseconds(text: &str) -> Option<Duration> {
    let milliseconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}

/// A complete request, with its body.
pub struct ClientRequest {
    /// The head of the request.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// When the complete head had arrived.
    pub arrived: Instant,
    /// The deadline of the response.
    pub deadline: Instant,
    /// The segments of the prompt in order, from `Quillpulley-Prompt-Prefix`; empty if the header is missing.
    pub segments: Vec<PromptSegment>,
    /// The number of tokens of the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// The maximum number of tokens of the response; 0 if unknown.
    pub output_tokens: u32,
}

impl ClientRequest {
    /// Creates a request. Its prompt segments and token counts are read from the head.
    pub fn new(head: RequestHead, body: Bytes, arrived: Instant, deadline: Instant) -> Self {
        let segments =
            headers::single_text(&head.headers, &PROMPT_PREFIX).map(parse_segments).unwrap_or_default();
        let counts = headers::single_text(&head.headers, &TOKEN_COUNT).and_then(parse_token_counts);
        let (prompt_tokens, output_tokens) = counts.unwrap_or_default();
        ClientRequest { head, body, arrived, deadline, segments, prompt_tokens, output_tokens }
    }

    /// Returns `Last-Event-Id` as the client sent it. `None` if it is missing or empty.
    pub fn last_event_id(&self) -> Option<Bytes> {
        let id = headers::single(&self.head.headers, &LAST_EVENT_ID)?;
        Some(Bytes::copy_from_slice(id.as_bytes())).filter(|id| !id.is_empty())
    }

    /// Returns the time until the deadline of the response; zero after it.
    pub fn time_remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the request to send to the server with the id `instance`, or `None` if a header value is
    /// invalid. `resume_after` is the id of the last event that was forwarded to the client.
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

/// A request with the route decision for it.
pub struct RequestContext {
    /// The client's request.
    pub request: ClientRequest,
    /// What the active configuration decided for the request.
    pub decision: RouteDecision,
}

impl RequestContext {
    /// Returns the demand of the request for the load balancer, with the time remaining now.
    pub fn demand(&self) -> Demand<'_> {
        let RequestContext { request, decision } = self;
        Demand {
            service: &decision.service,
            home_regions: &decision.home_regions,
            segments: &request.segments,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            body_bytes: request.body.len(),
            priority: decision.priority,
            target_latency: decision.target_latency,
            time_remaining: request.time_remaining(),
            sticky: decision.sticky,
        }
    }
}

/// Parses `Quillpulley-Prompt-Prefix`, such as `5c1e07a2:800,91bd3f06:410`: the hexadecimal id of each
/// segment and its length in tokens. An invalid segment ends the list.
fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptSegment {
            id: u64::from_str_radix(id.trim(), HEXADECIMAL_RADIX).ok()?,
            tokens: tokens.trim().parse().ok()?,
        })
    };
    text.split(',').map_while(segment).collect()
}

/// Parses `Quillpulley-Token-Count`, such as `1460,80`: the tokens of the prompt, and the maximum tokens of
/// the response.
fn parse_token_counts(text: &str) -> Option<(u32, u32)> {
    let (prompt, output) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}
