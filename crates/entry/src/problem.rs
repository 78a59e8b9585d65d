//! Error responses in the form of problem documents (RFC 9457).

use {
    axum::response::{IntoResponse, Response},
    http::{HeaderValue, StatusCode, header},
    serde::Serialize,
    std::time::Duration,
};

/// Whether a request that ended with a problem was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It provably was not and never will be executed.
    No,
    /// It may have been executed.
    Unknown,
}

/// Error that is returned to the caller instead of a backend server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Last part of the problem's type URN.
    pub kind: &'static str,
    /// Explanation for people.
    pub detail: Box<str>,
    /// Whether the request was executed.
    pub executed: Executed,
    /// Delay after which a retry may succeed, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
}

impl Problem {
    /// Creates a problem for a request that was not executed.
    pub fn not_executed(
        status: StatusCode,
        kind: &'static str,
        detail: impl Into<Box<str>>,
    ) -> Self {
        Self {
            status,
            kind,
            detail: detail.into(),
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// Creates a problem for a request that may have been executed.
    pub fn maybe_executed(kind: &'static str, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind,
            detail: detail.into(),
            executed: Executed::Unknown,
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Creates the HTTP response; `request` is the request's id.
    pub fn to_response(&self, request: Option<&str>) -> Response {
        let document = Document {
            r#type: format!("urn:jayspread:problem:{}", self.kind),
            title: self.status.canonical_reason().unwrap_or("refused"),
            status: self.status.as_u16(),
            detail: &self.detail,
            ran: self.executed,
            request,
        };
        let body = serde_json::to_string(&document).unwrap_or_default();
        let mut response = (self.status, body).into_response();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
