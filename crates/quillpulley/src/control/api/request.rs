//! Parsing of operator requests.

use super::http;
use crate::control::commands::Command;
use displaydoc::Display;
use std::io::Read;
use tiny_http::{Method, Request};

/// Maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4_500_000;
const BASE_VERSION_HEADER: &str = "Quillpulley-If-Config-Version";

/// The operation that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Executes a command.
    Execute(Command),
    /// Reads the newest configuration.
    ReadConfiguration,
    /// Reads the status of the control nodes as far as this process knows it.
    ReadStatus,
}

/// The reason why a request is rejected.
#[derive(Debug, Display)]
pub(super) enum RequestError {
    /// there is no {0}: see the operator's API
    UnknownPath(String),
    /// {method} is not taken here: send a {expected}
    WrongMethod { method: Method, expected: Method },
    /// Quillpulley-If-Config-Version is missing or no number: send the version it builds on
    NoBaseVersion,
    /// the zone's name is missing: add it to the path
    NoZone,
    /// the body is longer than {limit} bytes: send a smaller configuration
    BodyTooLong { limit: usize },
    /// {0}
    Incomplete(String),
}

impl RequestError {
    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            RequestError::UnknownPath(_) => 404,
            RequestError::WrongMethod { .. } => 405,
            RequestError::NoBaseVersion | RequestError::NoZone | RequestError::Incomplete(_) => 400,
            RequestError::BodyTooLong { .. } => 413,
        }
    }
}

/// Parses a request, and reads its body if the operation has one.
pub(super) fn parse(request: &mut Request) -> Result<Operation, RequestError> {
    let path = http::path(request.url()).to_string();
    let method = request.method().clone();
    let name = path.strip_prefix("/v1/").unwrap_or_default();
    match name.split_once('/').unwrap_or((name, "")) {
        ("Config.Replace", "") => {
            expect_method(method, Method::Post)?;
            parse_replacement(request)
        }
        ("Config.Get", "") => expect_method(method, Method::Get).map(|()| Operation::ReadConfiguration),
        ("Control.Status", "") => expect_method(method, Method::Get).map(|()| Operation::ReadStatus),
        ("Evacuate.Start", zone) => {
            expect_method(method, Method::Post).and_then(|()| parse_evacuation(zone, true))
        }
        ("Evacuate.End", zone) => {
            expect_method(method, Method::Post).and_then(|()| parse_evacuation(zone, false))
        }
        _ => Err(RequestError::UnknownPath(path)),
    }
}

fn expect_method(method: Method, expected: Method) -> Result<(), RequestError> {
    if method == expected {
        return Ok(());
    }
    Err(RequestError::WrongMethod { method, expected })
}

fn parse_replacement(request: &mut Request) -> Result<Operation, RequestError> {
    let base = http::header(request, BASE_VERSION_HEADER).and_then(|value| value.trim().parse().ok());
    let body = read_body(request)?;
    let base = base.ok_or(RequestError::NoBaseVersion)?;
    Ok(Operation::Execute(Command::Replace { base, body }))
}

fn parse_evacuation(zone: &str, active: bool) -> Result<Operation, RequestError> {
    let zone = http::percent_decode(zone);
    if zone.is_empty() || zone.contains('/') {
        return Err(RequestError::NoZone);
    }
    Ok(Operation::Execute(Command::Evacuate { zone, active }))
}

/// Reads a complete body. A body that ends before its announced length is rejected.
fn read_body(request: &mut Request) -> Result<Vec<u8>, RequestError> {
    let length = request.body_length();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(RequestError::BodyTooLong { limit: MAX_BODY_BYTES });
    }
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    let mut limited = request.as_reader().take(MAX_BODY_BYTES as u64 + 1);
    limited.read_to_end(&mut body).map_err(|error| RequestError::Incomplete(error.to_string()))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong { limit: MAX_BODY_BYTES });
    }
    match length {
        Some(length) if length != body.len() => {
            Err(RequestError::Incomplete(format!("{} of {length} bytes came", body.len())))
        }
        _ => Ok(body),
    }
}
