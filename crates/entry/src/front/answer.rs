//! Answers of the process itself.

use {
    crate::front::body::{Body, whole},
    http::{HeaderValue, Response, StatusCode, header},
    jayspread_platform::header as wire,
    serde_json::json,
    std::time::Duration,
};

/// Why the process answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// Status.
    pub status: StatusCode,
    /// Short reason, also for logs and counters.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// The request is not one that can be served.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request has not run and never will.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run.
    pub fn failed(reason: &'static str) -> Self {
        Self::rejected(StatusCode::BAD_GATEWAY, reason)
    }

    /// The time is up and the request may have run.
    pub fn late() -> Self {
        Self::rejected(StatusCode::GATEWAY_TIMEOUT, "deadline")
    }

    /// Makes the answer to a request.
    pub fn respond(self, id: Option<&str>) -> Response<Body> {
        let ran = match self.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "no",
        };
        let document = json!({"title": self.reason, "status": self.status.as_u16(), "ran": ran});
        let mut response = Response::new(whole(document.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let media = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, media);
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(id) = id {
            wire::set_request_id(headers, id);
        }
        response
    }
}
