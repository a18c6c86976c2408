//! Classification of server responses.

use super::attempt::AttemptOutcome;
use super::headers::{ACTUAL_UNITS, NOT_EXECUTED, SERVER_LOAD};
use crate::clients::parse_number;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use rate_limiter::{LoadReport, Outcome};

/// Maximum valid number in a load report, the same for all its values.
const MAX_LOAD: f64 = 1e6;

/// Classifies a complete response to a request. `max_units` is the maximum number of units of a request.
pub fn classify(response: Response<Bytes>, max_units: f64) -> AttemptOutcome {
    let headers = response.headers();
    let not_executed = headers.get(NOT_EXECUTED).is_some_and(|value| value == "1");
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Completed,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let units = headers.get(ACTUAL_UNITS).and_then(|value| parse_number(value.to_str().ok()?.trim()));
    // Values above the maximum are invalid. Deducting one from a token bucket could block the tenant indefinitely.
    let units = units.filter(|units| *units > 0.0 && *units <= max_units);
    let report = load_report(headers);
    let response = (outcome == Outcome::Completed).then_some(response);
    AttemptOutcome { outcome, units, report, response }
}

/// Classifies the response to a probe.
pub fn classify_probe(response: &Response<Bytes>) -> (Outcome, LoadReport) {
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Completed,
        _ => Outcome::Rejected,
    };
    let mut report = load_report(response.headers());
    if let Ok(text) = std::str::from_utf8(response.body()) {
        parse_load(text.trim(), &mut report);
    }
    (outcome, report)
}

/// Returns the load report in the headers of a response.
fn load_report(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(text) = headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok()) {
        parse_load(text, &mut report);
    }
    report
}

/// Parses comma-separated `name=value` pairs into a load report. Invalid pairs are skipped.
fn parse_load(text: &str, report: &mut LoadReport) {
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = parse_number(value.trim()).filter(|value| *value <= MAX_LOAD) {
            report.set(name.trim(), value);
        }
    }
}
