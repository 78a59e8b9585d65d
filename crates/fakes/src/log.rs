//! Fake of the platform's log service.

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
    jayspread_entry::log::{AppendResponse, PageJson, RecordJson},
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
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// Faults of the log, changed while it runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Delay added to every call.
    pub delay: Duration,
    /// Share of appends that take effect but whose response is lost, 0 to 1.
    pub response_loss_rate: f64,
    /// Share of appends that fail without taking effect, 0 to 1.
    pub rejection_rate: f64,
}

struct Inner {
    first_offset: u64,
    records: VecDeque<Bytes>,
    faults: Faults,
    rng: StdRng,
    append_count: u64,
}

/// The log; clones share its state.
#[derive(Clone)]
pub struct Log {
    inner: Arc<Mutex<Inner>>,
    end_changed: watch::Sender<u64>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl Log {
    /// Creates an empty log whose random faults are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                first_offset: 0,
                records: VecDeque::new(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                append_count: 0,
            })),
            end_changed: watch::Sender::new(0),
        }
    }

    /// Starts an HTTP server for the log.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let router = Router::new()
            .route("/append", post(append_record))
            .route("/records", get(read_records))
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(self.clone());
        Server::open(address, router).await
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Drops all records before `first_offset`.
    pub fn truncate(&self, first_offset: u64) {
        let mut inner = self.lock();
        while inner.first_offset < first_offset && inner.records.pop_front().is_some() {
            inner.first_offset += 1;
        }
    }

    /// Offset after the last record.
    pub fn next_offset(&self) -> u64 {
        let inner = self.lock();
        inner.first_offset + inner.records.len() as u64
    }

    /// Number of records appended so far.
    pub fn append_count(&self) -> u64 {
        self.lock().append_count
    }

    /// Appends a record and returns its offset. Faults do not apply.
    pub fn append(&self, record: Bytes) -> u64 {
        let mut inner = self.lock();
        inner.records.push_back(record);
        inner.append_count += 1;
        let next_offset = inner.first_offset + inner.records.len() as u64;
        drop(inner);
        self.end_changed.send_replace(next_offset);
        next_offset - 1
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Applies the delay and the outage to a call.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let faults = self.lock().faults;
        time::sleep(faults.delay).await;
        if self.lock().faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    /// True with probability `rate`.
    fn fault_occurs(&self, rate: f64) -> bool {
        rate > 0.0 && self.lock().rng.random_bool(rate)
    }

    /// Records from `query.from` on; an error with the first offset if they have been dropped.
    fn read(&self, query: &ReadQuery) -> Result<PageJson, PageJson> {
        let inner = self.lock();
        let first = inner.first_offset;
        if query.from < first {
            return Err(PageJson {
                first,
                ..PageJson::default()
            });
        }
        let skip = (query.from - first) as usize;
        let selected = inner.records.iter().skip(skip).take(query.max);
        let records: Vec<RecordJson> = selected
            .enumerate()
            .map(|(index, data)| RecordJson {
                offset: query.from + index as u64,
                data: hex::encode(data),
            })
            .collect();
        Ok(PageJson {
            first,
            next: query.from + records.len() as u64,
            records,
        })
    }
}

async fn append_record(State(log): State<Log>, record: Bytes) -> Response {
    if let Err(status) = log.apply_faults().await {
        return status.into_response();
    }
    let faults = log.lock().faults;
    if log.fault_occurs(faults.rejection_rate) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let offset = log.append(record);
    if log.fault_occurs(faults.response_loss_rate) {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(AppendResponse { offset }).into_response()
}

async fn read_records(State(log): State<Log>, Query(query): Query<ReadQuery>) -> Response {
    let deadline = time::Instant::now() + Duration::from_millis(query.wait_ms);
    let mut end_changed = log.end_changed.subscribe();
    loop {
        if let Err(status) = log.apply_faults().await {
            return status.into_response();
        }
        end_changed.borrow_and_update();
        match log.read(&query) {
            Err(page) => return (StatusCode::GONE, Json(page)).into_response(),
            Ok(page) if !page.records.is_empty() => return Json(page).into_response(),
            Ok(page) => {
                if time::timeout_at(deadline, end_changed.changed())
                    .await
                    .is_err()
                {
                    return Json(page).into_response();
                }
            }
        }
    }
}
