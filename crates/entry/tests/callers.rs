//! Tests of the bodies of responses to callers.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    jayspread_entry::{attempt::Sink, callers::ResponseBody},
    std::time::Instant,
};

fn response() -> (Sink, ResponseBody) {
    let (sink, source) = Sink::new(Instant::now());
    let body = ResponseBody {
        chunks: source.body,
        is_complete: source.is_complete,
    };
    (sink, body)
}

/// Guards against a response that looks complete although its task panicked in the middle of it.
#[tokio::test]
async fn response_whose_task_ends_early_is_incomplete() {
    let (mut sink, body) = response();
    assert!(sink.write(Bytes::from_static(b"start")).await);
    drop(sink);
    assert!(body.collect().await.is_err());
}

/// Guards against complete responses that are cut off.
#[tokio::test]
async fn finished_response_is_complete() {
    let (mut sink, body) = response();
    assert!(sink.write(Bytes::from_static(b"whole")).await);
    sink.finish();
    drop(sink);
    let collected = body.collect().await.map(|body| body.to_bytes());
    assert_eq!(collected, Ok(Bytes::from_static(b"whole")));
}
