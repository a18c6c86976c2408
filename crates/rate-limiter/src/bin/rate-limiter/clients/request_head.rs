//! Reads and checks the head of a client's request: everything that the decisions or a server rely on.
//!
//! A request that is rejected here reaches neither the decisions, whose totals go by tenant, nor a server. This must
//! stay cheap: nothing is kept or logged, since the same malformed request may come again at full speed.

use super::request_error::RequestError;
use crate::upstream::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_REMAINING};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::Method;
use rate_limiter::{Class, Idempotency, Settings};
use std::time::Duration;

const METERING: HeaderName = HeaderName::from_static("x-metering");
const CONTRACT: HeaderName = HeaderName::from_static("x-contract");
/// Marks a retry of the client.
pub const RETRY_MARK: HeaderName = HeaderName::from_static("x-repeat");

/// The longest id of a request or key, in bytes: ids are kept while requests are open, and are forwarded to servers.
const MAX_ID_BYTES: usize = 128;
/// The most headers that hyper reads of a request.
const MAX_HEADERS: usize = 100;
/// Numbers of tenants are below this, and written in this many hexadecimal digits.
const MAX_TENANT: u64 = 1 << 33;
const TENANT_DIGITS: usize = 16;
const HEXADECIMAL: u32 = 16;
/// The most characters of a number.
const MAX_NUMBER_LENGTH: usize = 20;
const SECONDS_PER_MILLISECOND: f64 = 1e-3;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;

/// The checked head of a request.
pub struct RequestHead {
    pub class: String,
    pub tenant: String,
    pub plan: String,
    pub correlation_id: HeaderValue,
    /// How long the client waits.
    pub time_remaining: Duration,
    pub units: f64,
    pub tenant_limiters: u32,
}

/// The units of a request, and the number of limiters that its tenant can come through.
struct Metering {
    units: f64,
    tenant_limiters: u32,
}

impl RequestHead {
    /// Reads the head of a request. `raw` is all that the connection has brought since the last request, the head
    /// first.
    ///
    /// # Errors
    /// [`RequestError`] if the request is malformed.
    pub fn read(
        settings: &Settings,
        parts: &Parts,
        body: &Incoming,
        raw: &[u8],
    ) -> Result<RequestHead, RequestError> {
        let headers = &parts.headers;
        // The path comes first: an unknown one is not found, whatever the headers say.
        let path = parts.uri.path().strip_prefix('/').and_then(|path| path.split_once('/'));
        let (class_name, tenant) = path.ok_or(RequestError::UnknownPath)?;
        let class = settings
            .classes
            .iter()
            .find(|class| class.name == class_name)
            .ok_or(RequestError::UnknownPath)?;
        if tenant.contains('/') {
            return Err(RequestError::UnknownPath);
        }
        if headers.contains_key(TRANSFER_ENCODING) && !is_only_chunked(raw) {
            return Err(RequestError::AmbiguousLength);
        }
        let tenant = parse_tenant(tenant).ok_or(RequestError::InvalidTenant)?;
        let correlation_id = single_id(headers, CORRELATION_ID);
        let correlation_id = correlation_id.ok_or(RequestError::InvalidCorrelationId)?;
        let plan = single_text(headers, CONTRACT);
        let plan = plan.filter(|name| settings.plans.iter().any(|plan| plan.name == *name));
        let plan = plan.ok_or(RequestError::UnknownPlan)?;
        let time_remaining = single_text(headers, TIME_REMAINING);
        let time_remaining = time_remaining.and_then(|text| parse_time_remaining(text, class));
        let time_remaining = time_remaining.ok_or(RequestError::InvalidTimeRemaining)?;
        let metering = single_text(headers, METERING).and_then(|text| parse_metering(settings, text));
        let metering = metering.ok_or(RequestError::InvalidMetering)?;
        check_class(class, &parts.method, headers, body)?;
        Ok(RequestHead {
            class: class.name.clone(),
            tenant,
            plan: plan.to_string(),
            correlation_id: HeaderValue::from_str(correlation_id)
                .map_err(|_| RequestError::InvalidCorrelationId)?,
            time_remaining,
            units: metering.units,
            tenant_limiters: metering.tenant_limiters,
        })
    }
}

/// Checks that a request fits the idempotency of its class.
fn check_class(
    class: &Class,
    method: &Method,
    headers: &HeaderMap,
    body: &Incoming,
) -> Result<(), RequestError> {
    let is_read = class.idempotency == Idempotency::Idempotent;
    let expected = if is_read { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestError::WrongMethod);
    }
    if is_read && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    if class.idempotency == Idempotency::Keyed && single_id(headers, IDEMPOTENCY_KEY).is_none() {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    Ok(())
}

/// Returns the text of a header that occurs exactly once. Given twice, it may be read one way here and another way at a
/// server.
fn single_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty()).and_then(|value| value.to_str().ok());
    value.filter(|_| values.next().is_none())
}

fn single_id(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    single_text(headers, name).filter(|id| id.len() <= MAX_ID_BYTES)
}

/// Parses the number of a tenant, and returns it in its canonical form.
fn parse_tenant(text: &str) -> Option<String> {
    let is_hexadecimal = text.len() == TENANT_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, HEXADECIMAL).ok().filter(|_| is_hexadecimal)?;
    (number < MAX_TENANT).then(|| format!("{number:016x}"))
}

/// Returns whether a chunked request came without a length. hyper removes the length if both are present, and a peer
/// that goes by it would find another request in the body: so the head is parsed once more as it came.
fn is_only_chunked(raw: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    // A head that is not found again, as it was pipelined behind another request, is rejected too.
    matches!(head.parse(raw), Ok(httparse::Status::Complete(_)))
        && head.headers.iter().all(|header| !header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
}

/// Parses digits with at most one point. Signs, exponents and infinity, which `f64` parses too, are invalid.
pub fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if text.len() > MAX_NUMBER_LENGTH || !is_plain {
        return None;
    }
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// Parses a number and a unit: `480m` milliseconds or `1500u` microseconds. No client waits longer than the deadline of
/// its class.
fn parse_time_remaining(text: &str, class: &Class) -> Option<Duration> {
    let (scale, number) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (SECONDS_PER_MILLISECOND, number),
        (_, Some(number)) => (SECONDS_PER_MICROSECOND, number),
        _ => return None,
    };
    let max = if class.deadline > 0.0 { class.deadline } else { f64::MAX };
    Duration::try_from_secs_f64((parse_number(number)? * scale).min(max)).ok()
}

/// Parses `units=2,spread=3,first=1`: the units, the number of limiters of the tenant, and the first of them.
fn parse_metering(settings: &Settings, text: &str) -> Option<Metering> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = parse_number(value.trim())?;
        let previous = match name.trim() {
            "units" => units.replace(value),
            "spread" => spread.replace(value),
            "first" => first.replace(value),
            _ => None,
        };
        if previous.is_some() {
            return None;
        }
    }
    let limiters = f64::from(settings.limiter_count.max(1));
    let max_units = if settings.max_units > 0.0 { settings.max_units } else { f64::MAX };
    let is_integer = |number: &f64| number.fract() == 0.0;
    first.filter(|first| is_integer(first) && *first < limiters)?;
    let spread = spread.filter(|spread| is_integer(spread) && (1.0..=limiters).contains(spread))?;
    let units = units.filter(|units| *units > 0.0 && *units <= max_units)?;
    Some(Metering { units, tenant_limiters: spread as u32 })
}
