//! Refusals as problem documents (RFC 9457).

use {
    axum::response::{IntoResponse, Response},
    http::{HeaderValue, StatusCode, header},
    serde::Serialize,
    std::time::Duration,
};

/// Whether a refused request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// Proven not to have run, and never to run.
    No,
    /// May have run.
    Unknown,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Short name of the kind, the last part of its type.
    pub kind: &'static str,
    /// What happened.
    pub detail: Box<str>,
    /// Whether the request has run.
    pub executed: Executed,
    /// Time after which trying again may help.
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
    /// Creates a refusal of a request that has not run.
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

    /// Creates a refusal of a request that may have run.
    pub fn maybe_executed(kind: &'static str, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind,
            detail: detail.into(),
            executed: Executed::Unknown,
            retry_after: None,
        }
    }

    /// Adds the time after which trying again may help.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Response to the caller.
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
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
