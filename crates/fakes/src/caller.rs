//! HTTP client that acts as a caller: sends requests to an entry host and checks the responses.

use {
    crate::engine::{Effect, Prompt, expected_events, expected_text},
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    http_body_util::BodyExt,
    jayspread_net::http::{Client, Error},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Largest response body, bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of an incorrect response body that are quoted in an error.
const MAX_QUOTED_BYTES: usize = 160;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time from the start of the request to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time from the start of the request to the end of the body.
    pub total_time: Duration,
}

impl Response {
    /// Field `ran` of an error response, which says whether the request ran: "no" or "unknown".
    pub fn reported_ran(&self) -> Option<String> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(value.get("ran")?.as_str()?.to_owned())
    }

    /// Version that produced the response, from its headers; empty if there is none.
    pub fn version(&self) -> &str {
        let value = self.headers.get("x-version");
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// Optional headers of a request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Organisation that the caller belongs to.
    pub organisation: Option<String>,
    /// Idempotency key, which makes the request safe to retry.
    pub idempotency_key: Option<String>,
    /// Time within which the caller wants a response.
    pub deadline: Option<Duration>,
}

/// A client of one entry host.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for a response.
    pub fn new(entry: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(entry, timeout),
            timeout,
        }
    }

    /// Sends a request whose body is JSON or empty, and reads the whole response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        request: &Request,
        body: Vec<u8>,
    ) -> Result<Response, Error> {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let deadline = request.deadline.map(|d| d.as_millis().to_string());
        let optional_headers = [
            ("x-organisation", request.organisation.clone()),
            ("idempotency-key", request.idempotency_key.clone()),
            ("x-deadline-ms", deadline),
        ];
        for (name, value) in optional_headers {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(&v).ok()) {
                headers.insert(name, value);
            }
        }
        let started_at = Instant::now();
        let exchange = self.exchange(started_at, method, path, headers, body.into());
        match time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(
        &self,
        started_at: Instant,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response, Error> {
        let response = self.client.send(method, path, headers, body).await?;
        let (head, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut time_to_first_byte = None;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|cause| Error::Broken(cause.to_string().into()))?;
            if let Ok(data) = frame.into_data() {
                time_to_first_byte.get_or_insert_with(|| started_at.elapsed());
                body.extend_from_slice(&data);
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(Error::TooLarge);
            }
        }
        let total_time = started_at.elapsed();
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: body.into(),
            time_to_first_byte: time_to_first_byte.unwrap_or(total_time),
            total_time,
        })
    }

    /// Requests generated text. Fails with [`Error::Malformed`] if a successful response is not the
    /// complete answer to the prompt.
    pub async fn generate(
        &self,
        service: &str,
        prompt: &Prompt,
        request: &Request,
    ) -> Result<Response, Error> {
        let path = format!("/v1/{service}/generate");
        let body = serde_json::to_vec(prompt).unwrap_or_default();
        let response = self.send(Method::POST, &path, request, body).await?;
        if response.status == StatusCode::OK && !is_complete(prompt, &response) {
            let quoted = String::from_utf8_lossy(
                &response.body[..response.body.len().min(MAX_QUOTED_BYTES)],
            );
            let reason = format!(
                "{} bytes of version {:?} are not the complete answer to {:?}: {quoted}",
                response.body.len(),
                response.version(),
                prompt.prompt
            );
            return Err(Error::Malformed(reason.into()));
        }
        Ok(response)
    }

    /// Sends a request with a side effect to the service's path `/lodge`.
    pub async fn apply_effect(
        &self,
        service: &str,
        effect: &Effect,
        request: &Request,
    ) -> Result<Response, Error> {
        let path = format!("/v1/{service}/lodge");
        let body = serde_json::to_vec(effect).unwrap_or_default();
        self.send(Method::POST, &path, request, body).await
    }
}

/// Whether a response is exactly the answer that its version gives to the prompt.
fn is_complete(prompt: &Prompt, response: &Response) -> bool {
    let version = response.version();
    if prompt.stream {
        return response.body == expected_events(prompt, version).concat().as_bytes();
    }
    let value: Result<serde_json::Value, _> = serde_json::from_slice(&response.body);
    let text = value
        .ok()
        .and_then(|v| Some(v.get("text")?.as_str()?.to_owned()));
    text == Some(expected_text(prompt, version))
}
