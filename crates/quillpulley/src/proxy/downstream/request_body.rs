//! Reads the body of a client's request, within the size limit and the memory budget.

use crate::buffer_budget::BufferReservation;
use crate::proxy::downstream::local_response::LocalResponse;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use std::time::Duration;

/// `Retry-After` for a request whose body does not fit into the memory budget.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads a body of at most `max_bytes`, and reserves memory for it.
///
/// # Errors
/// The response to the client if the body is too large, malformed, or does not fit into the memory budget.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &mut BufferReservation,
) -> Result<Bytes, LocalResponse> {
    let too_large = LocalResponse::closing(StatusCode::PAYLOAD_TOO_LARGE);
    let no_memory = LocalResponse::unavailable(NO_MEMORY_RETRY_AFTER).closing_if(true);
    // The announced length is reserved before reading, so that a body does not run out of memory halfway.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(too_large);
    }
    if !reservation.try_grow_to(announced) {
        return Err(no_memory);
    }
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(LocalResponse::closing(StatusCode::BAD_REQUEST)) };
        let Ok(data) = frame.into_data() else { continue };
        if data.len() == announced {
            return Ok(data);
        }
        if all.is_empty() {
            all.reserve(announced.max(data.len()));
        }
        if all.len() + data.len() > max_bytes {
            return Err(too_large);
        }
        if !reservation.try_grow_to(all.len() + data.len()) {
            return Err(no_memory);
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
