//! Error responses that the entry host generates itself.

use {
    crate::front::body::{Body, full},
    http::{HeaderValue, Response, StatusCode, header},
    jayspread_core::call::Call,
    jayspread_platform::header as wire,
    serde_json::json,
    std::time::Duration,
};

/// Retry delay suggested to a caller whose request was not executed because its handling panicked.
pub const PANIC_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Retry delay suggested to callers during shutdown; another host can serve them at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An error response, sent as a problem document (RFC 9457).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// Status code of the response.
    pub status: StatusCode,
    /// Short machine-readable reason; also used in logs and metrics.
    pub reason: &'static str,
    /// Delay after which the caller may retry; sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem for a request that cannot be served and was not executed.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Creates a problem for a request that is refused for now (503); it was not executed and will
    /// not be.
    pub fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a problem for a request that a stopping host passes on to no engine.
    pub fn stopping() -> Self {
        Self::unavailable("stopping", SHUTDOWN_RETRY_AFTER)
    }

    /// Creates a problem for a request without a usable response from an engine (502); it may have
    /// been executed.
    pub fn bad_gateway(reason: &'static str) -> Self {
        Self::rejected(StatusCode::BAD_GATEWAY, reason)
    }

    /// Creates a problem for a request whose deadline has passed (504); it may have been executed.
    pub fn gateway_timeout() -> Self {
        Self::rejected(StatusCode::GATEWAY_TIMEOUT, "deadline")
    }

    /// Creates a problem for a request whose handling panicked: 503 only if its state proves that it
    /// was not executed, otherwise 502.
    pub fn panicked(call: &Call) -> Self {
        if call.not_run() {
            return Self::unavailable("panicked", PANIC_RETRY_AFTER);
        }
        Self::bad_gateway("panicked")
    }

    /// Builds the response, with the caller's request id if it is known.
    pub fn into_response(self, request_id: Option<&str>) -> Response<Body> {
        let ran = match self.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "no",
        };
        let document = json!({"title": self.reason, "status": self.status.as_u16(), "ran": ran});
        let mut response = Response::new(full(document.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(request_id) = request_id {
            wire::set_request_id(headers, request_id);
        }
        response
    }
}
