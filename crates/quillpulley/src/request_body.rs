//! Reads the body of an incoming request, within a size limit and a memory budget.

use crate::buffer_budget::BufferReservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// When the memory of a body of announced length is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationPolicy {
    /// Before reading, so that the body does not run out of memory halfway.
    BeforeReading,
    /// As the body arrives, so that a body that does not arrive takes no memory.
    AsReceived,
}

/// The reason why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The body does not fit into the memory budget.
    OutOfMemory,
    /// The body is malformed, or ended early.
    Incomplete,
}

/// Reads a body of at most `max_bytes`, and reserves memory for it. The memory of a body without an announced
/// length is reserved as it arrives.
///
/// # Errors
/// [`BodyError`] if the body is too large, malformed, incomplete, or does not fit into the memory budget.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    policy: ReservationPolicy,
    reservation: &mut BufferReservation,
) -> Result<Bytes, BodyError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if policy == ReservationPolicy::BeforeReading {
        reserve(reservation, announced)?;
    }
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
        let length = all.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        reserve(reservation, length)?;
        if data.len() == announced {
            return Ok(data);
        }
        if all.is_empty() {
            all.reserve(announced.max(length));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

fn reserve(reservation: &mut BufferReservation, bytes: usize) -> Result<(), BodyError> {
    match reservation.try_grow_to(bytes) {
        true => Ok(()),
        false => Err(BodyError::OutOfMemory),
    }
}
