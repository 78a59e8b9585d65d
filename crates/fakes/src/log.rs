//! Stand-in for the platform's log service.

use {
    crate::server::Server,
    axum::{
        Json, Router,
        body::Bytes,
        extract::{DefaultBodyLimit, Query, State},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    http::StatusCode,
    jayspread_entry::log::{Appended, Line, Lines},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::Deserialize,
    std::{
        collections::VecDeque,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time},
};

/// Largest record, bytes.
const RECORD_MAX: usize = 64 * 1024 * 1024;

/// Faults of the log, changed while it runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Added to every call.
    pub delay: Duration,
    /// Share of appends whose answer is lost after they took effect.
    pub response_loss_rate: f64,
    /// Share of appends that fail without taking effect.
    pub rejection_rate: f64,
}

struct Inner {
    first: u64,
    records: VecDeque<Bytes>,
    faults: Faults,
    rng: StdRng,
    appends: u64,
}

/// The log's state.
#[derive(Clone)]
pub struct Log {
    inner: Arc<Mutex<Inner>>,
    grown: watch::Sender<u64>,
}

#[derive(Deserialize)]
struct Range {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl Log {
    /// Creates an empty log whose faults follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                first: 0,
                records: VecDeque::new(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                appends: 0,
            })),
            grown: watch::Sender::new(0),
        }
    }

    /// Serves the log over HTTP.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/append", post(append))
            .route("/records", get(records))
            .layer(DefaultBodyLimit::max(RECORD_MAX))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Drops records before `first`.
    pub fn truncate(&self, first: u64) {
        let mut inner = self.lock();
        while inner.first < first && inner.records.pop_front().is_some() {
            inner.first += 1;
        }
    }

    /// Position after the last record.
    pub fn next_offset(&self) -> u64 {
        let inner = self.lock();
        inner.first + inner.records.len() as u64
    }

    /// Appends so far.
    pub fn append_count(&self) -> u64 {
        self.lock().appends
    }

    /// Appends a record as the platform would.
    pub fn append(&self, record: Bytes) -> u64 {
        let mut inner = self.lock();
        inner.records.push_back(record);
        inner.appends += 1;
        let next = inner.first + inner.records.len() as u64;
        drop(inner);
        self.grown.send_replace(next);
        next - 1
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds the lock")
    }

    async fn fault(&self) -> Result<(), StatusCode> {
        let faults = self.lock().faults;
        time::sleep(faults.delay).await;
        if self.lock().faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.lock().rng.random_bool(share)
    }

    fn read(&self, range: &Range) -> Result<Lines, Lines> {
        let inner = self.lock();
        let first = inner.first;
        if range.from < first {
            return Err(Lines {
                first,
                ..Lines::default()
            });
        }
        let skip = (range.from - first) as usize;
        let chosen = inner.records.iter().skip(skip).take(range.max);
        let records: Vec<Line> = chosen
            .enumerate()
            .map(|(index, data)| Line {
                offset: range.from + index as u64,
                data: hex::encode(data),
            })
            .collect();
        Ok(Lines {
            first,
            next: range.from + records.len() as u64,
            records,
        })
    }
}

async fn append(State(log): State<Log>, record: Bytes) -> Response {
    if let Err(status) = log.fault().await {
        return status.into_response();
    }
    let faults = log.lock().faults;
    if log.draw(faults.rejection_rate) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let offset = log.append(record);
    if log.draw(faults.response_loss_rate) {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(Appended { offset }).into_response()
}

async fn records(State(log): State<Log>, Query(range): Query<Range>) -> Response {
    let due = time::Instant::now() + Duration::from_millis(range.wait_ms);
    let mut grown = log.grown.subscribe();
    loop {
        if let Err(status) = log.fault().await {
            return status.into_response();
        }
        grown.borrow_and_update();
        match log.read(&range) {
            Err(lines) => return (StatusCode::GONE, Json(lines)).into_response(),
            Ok(lines) if !lines.records.is_empty() => return Json(lines).into_response(),
            Ok(lines) => {
                if time::timeout_at(due, grown.changed()).await.is_err() {
                    return Json(lines).into_response();
                }
            }
        }
    }
}
