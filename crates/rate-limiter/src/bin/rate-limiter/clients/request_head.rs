//! Parses and validates the head of a client's request: everything on which the limiter or a server relies.
//!
//! A request that is rejected here is neither submitted to the limiter, whose totals are kept by tenant, nor sent to a
//! server. Rejection must be cheap: nothing is stored or logged, because a client may repeat a malformed request at a
//! high rate.

use super::request_error::RequestError;
use crate::upstream::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_REMAINING};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::Method;
use rate_limiter::{Class, Idempotency, Settings};
use std::time::Duration;

const METERING: HeaderName = HeaderName::from_static("x-metering");
const PLAN: HeaderName = HeaderName::from_static("x-contract");
/// Marks a retry by the client.
pub const RETRY_MARK: HeaderName = HeaderName::from_static("x-repeat");

/// Maximum length of a correlation id or idempotency key, in bytes. Both are stored while the request is open, and are
/// forwarded to servers.
const MAX_ID_BYTES: usize = 128;
/// Maximum number of headers that hyper accepts in a request.
const MAX_HEADERS: usize = 100;
/// Tenant numbers are below this limit, and are written with `TENANT_DIGITS` hexadecimal digits.
const MAX_TENANT: u64 = 1 << 33;
const TENANT_DIGITS: usize = 16;
const HEXADECIMAL_RADIX: u32 = 16;
/// Maximum length of a number, in bytes.
const MAX_NUMBER_LENGTH: usize = 20;
const SECONDS_PER_MILLISECOND: f64 = 1e-3;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;

/// The validated head of a request.
pub struct RequestHead {
    pub class: String,
    pub tenant: String,
    pub plan: String,
    pub correlation_id: HeaderValue,
    /// How long the client still waits, at most the deadline of the class.
    pub time_remaining: Duration,
    pub units: f64,
    pub tenant_limiters: u32,
}

/// The units of a request, and the number of limiters that receive requests of its tenant.
struct Metering {
    units: f64,
    tenant_limiters: u32,
}

impl RequestHead {
    /// Parses the head of a request. `raw` contains all bytes received on the connection since the last request, beginning
    /// with this head. It is only used for chunked requests.
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
        // The path is checked first, so that an unknown path is reported as not found even if headers are invalid.
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
        let plan = single_text(headers, PLAN);
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

/// Returns the value of a header that occurs exactly once. Headers that occur twice are invalid, because this limiter and
/// a server could use different values.
fn single_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty()).and_then(|value| value.to_str().ok());
    value.filter(|_| values.next().is_none())
}

fn single_id(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    single_text(headers, name).filter(|id| id.len() <= MAX_ID_BYTES)
}

/// Parses a tenant number, and returns it in its canonical form of lowercase hexadecimal digits.
fn parse_tenant(text: &str) -> Option<String> {
    let is_hexadecimal = text.len() == TENANT_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, HEXADECIMAL_RADIX).ok().filter(|_| is_hexadecimal)?;
    (number < MAX_TENANT).then(|| format!("{number:016x}"))
}

/// Returns whether a chunked request has no `Content-Length`. If both headers are present, hyper removes the length. A
/// peer that uses the length instead would find another request within the body (request smuggling). The original head
/// is therefore parsed once more.
fn is_only_chunked(raw: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    // A head that was pipelined behind another request may not be found in `raw`. It is rejected too.
    matches!(head.parse(raw), Ok(httparse::Status::Complete(_)))
        && head.headers.iter().all(|header| !header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
}

/// Parses digits with at most one decimal point. Signs, exponents and infinity, which `f64` would accept, are invalid.
pub fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if text.len() > MAX_NUMBER_LENGTH || !is_plain {
        return None;
    }
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// Parses a duration such as `480m` (milliseconds) or `1500u` (microseconds). It is limited to the deadline of the class.
fn parse_time_remaining(text: &str, class: &Class) -> Option<Duration> {
    let (scale, number) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (SECONDS_PER_MILLISECOND, number),
        (_, Some(number)) => (SECONDS_PER_MICROSECOND, number),
        _ => return None,
    };
    let max = if class.deadline > 0.0 { class.deadline } else { f64::MAX };
    Duration::try_from_secs_f64((parse_number(number)? * scale).min(max)).ok()
}

/// Parses a value such as `units=2,spread=3,first=1`: the units, the number of limiters that receive requests of the
/// tenant, and the index of the first of them. All three must be present and valid; `first` is not used further.
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
