//! The headers of the protocol, and those that concern only one connection.

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
/// How the names of the protocol's own headers begin.
const OF_PROTOCOL: &str = "quillpulley-";
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Those that concern only one connection, or the way a body is carried on it.
const OF_ONE_CONNECTION: [HeaderName; 11] = [
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

/// Takes out what concerns only the connection that a message came on.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = named_by_connection(headers).collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in OF_ONE_CONNECTION {
        headers.remove(name);
    }
}

/// Returns whether the connection is closed after the message.
pub fn closes(headers: &HeaderMap) -> bool {
    headers.contains_key(CONNECTION)
        && tokens_of_connection(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

/// Returns false for headers of the protocol, which are for the other end, whatever `Connection` says of them.
fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let names = tokens_of_connection(headers).filter_map(|name| name.parse().ok());
    names.filter(|name: &HeaderName| !name.as_str().starts_with(OF_PROTOCOL) && *name != LAST_EVENT_ID)
}

fn tokens_of_connection(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Returns the value of a header that is there once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// Returns the text of a header that is there once.
pub fn single_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    single(headers, name)?.to_str().ok().map(str::trim)
}
