//! Reading of operator requests.

use crate::buffer_budget::{BufferBudget, BufferReservation};
use crate::control::commands::Command;
use crate::control::http::url;
use crate::request_body::{read_body, BodyError, ReservationPolicy};
use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4_500_000;
/// Maximum time to read a body, besides the time that its bytes take on the slowest link.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Rate of the slowest link of a deployment (10 Mbit/s), in bytes per second.
const SLOWEST_LINK_RATE: f64 = 1_250_000.0;
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

/// An operation, with the memory that is reserved for its body.
pub(super) struct ReceivedOperation {
    pub operation: Operation,
    pub reservation: BufferReservation,
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
    /// the body did not arrive in time: send it again
    BodyTimeout,
    /// there is no memory for the body now: send it again
    NoMemory,
    /// the body ended early: send it again
    Incomplete,
}

impl RequestError {
    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownPath(_) => StatusCode::NOT_FOUND,
            RequestError::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::NoBaseVersion | RequestError::NoZone => StatusCode::BAD_REQUEST,
            RequestError::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::NoMemory | RequestError::Incomplete => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => RequestError::BodyTooLong { limit: MAX_BODY_BYTES },
            BodyError::OutOfMemory => RequestError::NoMemory,
            BodyError::Incomplete => RequestError::Incomplete,
        }
    }
}

/// Reads a request, with its body if the operation has one, for which memory is reserved from `bodies`.
pub(super) async fn read(
    request: Request<Incoming>,
    bodies: &BufferBudget,
) -> Result<ReceivedOperation, RequestError> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_string();
    let method = head.method.clone();
    let mut reservation = bodies.reservation();
    let name = path.strip_prefix("/v1/").unwrap_or_default();
    let operation = match name.split_once('/').unwrap_or((name, "")) {
        ("Config.Replace", "") => {
            expect_method(method, Method::POST)?;
            read_replacement(&head, body, &mut reservation).await
        }
        ("Config.Get", "") => expect_method(method, Method::GET).map(|()| Operation::ReadConfiguration),
        ("Control.Status", "") => expect_method(method, Method::GET).map(|()| Operation::ReadStatus),
        ("Evacuate.Start", zone) => {
            expect_method(method, Method::POST).and_then(|()| parse_evacuation(zone, true))
        }
        ("Evacuate.End", zone) => {
            expect_method(method, Method::POST).and_then(|()| parse_evacuation(zone, false))
        }
        _ => Err(RequestError::UnknownPath(path)),
    }?;
    Ok(ReceivedOperation { operation, reservation })
}

fn expect_method(method: Method, expected: Method) -> Result<(), RequestError> {
    if method == expected {
        return Ok(());
    }
    Err(RequestError::WrongMethod { method, expected })
}

async fn read_replacement(
    head: &Parts,
    body: Incoming,
    reservation: &mut BufferReservation,
) -> Result<Operation, RequestError> {
    let base = head.headers.get(BASE_VERSION_HEADER).and_then(|value| value.to_str().ok());
    let base = base.and_then(|value| value.trim().parse().ok());
    let body = read_limited(body, reservation).await?.into();
    let base = base.ok_or(RequestError::NoBaseVersion)?;
    Ok(Operation::Execute(Command::Replace { base, body }))
}

fn parse_evacuation(zone: &str, active: bool) -> Result<Operation, RequestError> {
    let zone = url::percent_decode(zone);
    if zone.is_empty() || zone.contains('/') {
        return Err(RequestError::NoZone);
    }
    Ok(Operation::Execute(Command::Evacuate { zone, active }))
}

/// Reads a complete body in a time that depends on its announced length. A body that ends before that length is
/// rejected.
async fn read_limited(body: Incoming, reservation: &mut BufferReservation) -> Result<Bytes, RequestError> {
    let announced = body.size_hint().exact().unwrap_or(MAX_BODY_BYTES as u64);
    let time = BODY_TIMEOUT + Duration::from_secs_f64(announced as f64 / SLOWEST_LINK_RATE);
    let reading = read_body(body, MAX_BODY_BYTES, ReservationPolicy::AsReceived, reservation);
    let body = timeout(time, reading).await.map_err(|_| RequestError::BodyTimeout)?;
    Ok(body?)
}
