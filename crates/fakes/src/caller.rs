//! A caller: sends requests to an entry host and checks the answers.

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

/// Largest answer, bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;
/// Bytes of a wrong answer that an error shows.
const SHOWN: usize = 160;

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
}

impl Response {
    /// What a refusal says of whether the request ran: "no" or "unknown".
    pub fn reported_ran(&self) -> Option<String> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(value.get("ran")?.as_str()?.to_owned())
    }

    /// Version that the answer comes from.
    pub fn version(&self) -> &str {
        let value = self.headers.get("x-version");
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Organisation.
    pub organisation: Option<String>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Deadline.
    pub deadline: Option<Duration>,
}

/// A caller of one entry host.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    limit: Duration,
}

impl Caller {
    /// Creates a caller that waits at most `limit` for an answer.
    pub fn new(entry: SocketAddr, limit: Duration) -> Self {
        Self {
            client: Client::new(entry, limit),
            limit,
        }
    }

    /// Sends JSON, or nothing, to a path.
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
        let extra = [
            ("x-organisation", request.organisation.clone()),
            ("idempotency-key", request.idempotency_key.clone()),
            ("x-deadline-ms", deadline),
        ];
        for (name, value) in extra {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(&v).ok()) {
                headers.insert(name, value);
            }
        }
        let began = Instant::now();
        let exchange = self.exchange(began, method, path, headers, body.into());
        match time::timeout(self.limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(
        &self,
        began: Instant,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response, Error> {
        let response = self.client.send(method, path, headers, body).await?;
        let (head, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut first_byte = None;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|cause| Error::Broken(cause.to_string().into()))?;
            if let Ok(data) = frame.into_data() {
                first_byte.get_or_insert_with(|| began.elapsed());
                body.extend_from_slice(&data);
            }
            if body.len() > ANSWER_MAX {
                return Err(Error::TooLarge);
            }
        }
        let whole = began.elapsed();
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: body.into(),
            time_to_first_byte: first_byte.unwrap_or(whole),
            total_time: whole,
        })
    }

    /// Asks for text and checks that a successful answer is the whole one to this prompt.
    pub async fn generate(
        &self,
        service: &str,
        prompt: &Prompt,
        request: &Request,
    ) -> Result<Response, Error> {
        let path = format!("/v1/{service}/generate");
        let body = serde_json::to_vec(prompt).unwrap_or_default();
        let answer = self.send(Method::POST, &path, request, body).await?;
        if answer.status == StatusCode::OK && !whole(prompt, &answer) {
            let said = String::from_utf8_lossy(&answer.body[..answer.body.len().min(SHOWN)]);
            let reason = format!(
                "{} bytes of version {:?} are not the whole answer to {:?}: {said}",
                answer.body.len(),
                answer.version(),
                prompt.prompt
            );
            return Err(Error::Malformed(reason.into()));
        }
        Ok(answer)
    }

    /// Lodges an effect.
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

/// Whether an answer is exactly what its version gives for the prompt.
fn whole(prompt: &Prompt, answer: &Response) -> bool {
    let version = answer.version();
    if prompt.stream {
        return answer.body == expected_events(prompt, version).concat().as_bytes();
    }
    let value: Result<serde_json::Value, _> = serde_json::from_slice(&answer.body);
    let said = value
        .ok()
        .and_then(|v| Some(v.get("text")?.as_str()?.to_owned()));
    said == Some(expected_text(prompt, version))
}
