//! Responses of the administration API.

use fescuerack_wire::admin::{Error, Failure, Kind};
use rouille::Response;
use serde::Serialize;

/// Returns a JSON response.
pub fn json<T: Serialize>(body: &T) -> Response {
    Response::json(body).with_no_cache()
}

/// Returns the response to an error, with the HTTP status of its kind.
pub fn failure(error: &Error) -> Response {
    let body = Failure {
        error: error.clone(),
    };
    let response = json(&body).with_status_code(error.kind.status());
    if error.kind == Kind::Unauthorized {
        return response.with_additional_header("WWW-Authenticate", "Bearer");
    }
    response
}
