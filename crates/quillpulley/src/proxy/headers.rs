//! HTTP headers: those of the quillpulley protocol, and hop-by-hop headers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::header::{CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION};
use hyper::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

pub const REQUEST_ID: HeaderName = HeaderName::from_static("quillpulley-request-id");
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("quillpulley-deadline-ms");
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("quillpulley-expect-instance");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("quillpulley-not-executed");
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("quillpulley-response-seal");
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("quillpulley-token-count");
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("quillpulley-prompt-prefix");
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("quillpulley-instance-id");
pub const WARMUP_REMAINING_MS: HeaderName = HeaderName::from_static("quillpulley-warmup-remaining-ms");
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// The prefix of the names of the protocol's own headers.
const PROTOCOL_PREFIX: &str = "quillpulley-";
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are not forwarded: hop-by-hop headers, and those that describe the framing of a body.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that must not be forwarded: `HOP_BY_HOP` and those that `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = named_by_connection(headers).collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns whether `Connection: close` announces that the connection is closed after the message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers.contains_key(CONNECTION)
        && connection_tokens(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

/// Returns the headers that `Connection` names, except the protocol's own headers and `Last-Event-Id`, which
/// are end-to-end.
fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let names = connection_tokens(headers).filter_map(|name| name.parse().ok());
    names.filter(|name: &HeaderName| !name.as_str().starts_with(PROTOCOL_PREFIX) && *name != LAST_EVENT_ID)
}

fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Returns the value of a header. `None` if the header is missing or occurs more than once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// Returns the trimmed text of a header. `None` if the header is missing, occurs more than once, or is not
/// visible ASCII.
pub fn single_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    single(headers, name)?.to_str().ok().map(str::trim)
}
