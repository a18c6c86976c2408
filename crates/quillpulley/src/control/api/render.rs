//! Conversion of responses to HTTP.

use super::http::JsonResponse;
use crate::control::response::Response;
use simd_json::prelude::Writable;

/// Delay after which a caller whose outcome is unknown should retry, in seconds.
const RETRY_AFTER_S: &str = "0.2";

/// Converts the response to a request for `url` to HTTP.
pub(super) fn render(url: &str, response: Response) -> JsonResponse {
    match response {
        Response::Acknowledged => JsonResponse::new(200, b"{}".to_vec()),
        Response::Configuration(body) => JsonResponse::new(200, body.to_vec()),
        Response::Status(body) => JsonResponse::new(200, body),
        Response::NoConfiguration => error(404, "no configuration has been taken yet"),
        Response::Conflict { current } => {
            error(412, &format!("version {current} is in place: read it and build on it"))
        }
        Response::HistoryExpired { oldest } => retry_later(&format!(
            "what was taken on versions below {oldest} is forgotten: read the configuration in force"
        )),
        Response::Invalid(reason) => error(400, &reason),
        Response::Redirect(primary) => {
            let location = format!("http://{primary}{url}");
            JsonResponse::new(307, b"{}".to_vec()).with_header("Location", location)
        }
        Response::Unavailable => retry_later("no primary has confirmed this: send it again"),
    }
}

/// Returns a response with an error status and the reason as its JSON body.
pub(super) fn error(status: u16, reason: &str) -> JsonResponse {
    let body = simd_json::json!({ "Error": reason });
    JsonResponse::new(status, body.encode().into_bytes())
}

fn retry_later(reason: &str) -> JsonResponse {
    error(503, reason).with_header("Retry-After", RETRY_AFTER_S)
}
