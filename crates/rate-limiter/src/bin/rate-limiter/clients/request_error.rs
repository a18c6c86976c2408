//! Errors of requests that are answered without being submitted to the limiter.

use super::response::{close_connection, plain, ClientResponse};
use displaydoc::Display;
use hyper::StatusCode;

/// Why a request is not submitted to the limiter. The text is the body of the response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestError {
    /// no such path
    UnknownPath,
    /// no path
    NoPath,
    /// only GET
    OnlyGet,
    /// not ready
    NotReady,
    /// Transfer-Encoding beside Content-Length
    AmbiguousLength,
    /// the customer is malformed
    InvalidTenant,
    /// X-Correlation-Id is missing or malformed
    InvalidCorrelationId,
    /// X-Contract is missing or unknown
    UnknownPlan,
    /// X-Time-Left is missing or malformed
    InvalidTimeRemaining,
    /// X-Metering is missing or malformed
    InvalidMetering,
    /// Idempotency-Key is missing or malformed
    InvalidIdempotencyKey,
    /// the method does not fit the class
    WrongMethod,
    /// a GET carries no body
    UnexpectedBody,
    /// the body cannot be read
    UnreadableBody,
    /// the body came too slowly
    BodyTimeout,
    /// the body is too large
    BodyTooLarge,
    /// a request with this id is open
    DuplicateId,
    /// too many requests are open
    TooManyOpenRequests,
    /// too much is open
    OutOfBodyMemory,
    /// failed: the client has left
    ClientClosed,
}

impl RequestError {
    /// Returns the status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath | RequestError::NoPath => StatusCode::NOT_FOUND,
            RequestError::OnlyGet => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::AmbiguousLength
            | RequestError::InvalidTenant
            | RequestError::InvalidCorrelationId
            | RequestError::UnknownPlan
            | RequestError::InvalidTimeRemaining
            | RequestError::InvalidMetering
            | RequestError::InvalidIdempotencyKey
            | RequestError::WrongMethod
            | RequestError::UnexpectedBody
            | RequestError::UnreadableBody => StatusCode::BAD_REQUEST,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::NotReady | RequestError::TooManyOpenRequests | RequestError::OutOfBodyMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RequestError::ClientClosed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the response. Unless the status is 503, the connection is closed, so that an unread rest of the request is
    /// not read as the next request.
    pub fn into_response(self) -> ClientResponse {
        let status = self.status();
        let mut response = plain(status, format!("{self}\n"));
        if status != StatusCode::SERVICE_UNAVAILABLE {
            close_connection(&mut response);
        }
        response
    }
}
