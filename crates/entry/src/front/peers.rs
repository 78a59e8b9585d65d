//! Exchange of store records between entry hosts: a host that is behind fetches them from a peer.

use {
    crate::{
        front::{
            state::{Offsets, State},
            watch::{self, with_mirror},
        },
        shared::lock,
    },
    axum::{
        Router,
        extract::{self, Query},
        http::StatusCode,
        response::IntoResponse,
        routing::get,
    },
    bytes::Bytes,
    jayspread_core::placement::LISTING_GRACE,
    jayspread_net::{
        client::{Client, Request},
        clock, event,
    },
    jayspread_platform::store::{Batch, Record, Topic},
    jayspread_schema::peer::{Records, Topic as TopicMessage},
    prost::Message,
    rand::seq::IteratorRandom,
    serde::Deserialize,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// HTTP path that serves records to peers.
const PATH: &str = "/records";
/// Time that the store gets to deliver records that a peer has already seen, before they are
/// fetched from the peer.
const STORE_DELAY: Duration = Duration::from_millis(700);
/// Number of fetches from peers of the own region before one from another region.
const REGIONAL_ATTEMPTS: usize = 3;
/// Timeout for each read of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Routes that peers call.
pub fn router(state: Arc<State>) -> Router {
    Router::new().route(PATH, get(records)).with_state(state)
}

/// Query parameters: first offset wanted of each topic.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
struct Params {
    #[serde(default)]
    operator: u64,
    #[serde(default)]
    engines: u64,
}

async fn records(
    extract::State(state): extract::State<Arc<State>>,
    Query(from): Query<Params>,
) -> impl IntoResponse {
    let grace = state.remaining_grace().unwrap_or_default();
    let mirrors = lock(&state.mirrors);
    let encoded = |batch: Option<Batch>| batch.map(encode);
    let response = Records {
        operator: encoded(mirrors.operator.batch(from.operator)),
        engines: encoded(mirrors.engines.batch(from.engines)),
        lenient_ms: grace.as_millis() as u64,
    };
    (StatusCode::OK, response.encode_to_vec())
}

fn encode(batch: Batch) -> TopicMessage {
    let records = batch
        .records
        .into_iter()
        .map(|record| jayspread_schema::peer::Record {
            key: record.key.to_string(),
            removed: record.value.is_none(),
            value: record.value.unwrap_or_default(),
            offset: record.offset,
        });
    TopicMessage {
        end: batch.next_offset,
        records: records.collect(),
    }
}

fn decode(topic: TopicMessage) -> Batch {
    let records = topic.records.into_iter().map(|record| Record {
        key: record.key.into(),
        value: (!record.removed).then_some(record.value),
        offset: record.offset,
    });
    Batch {
        records: records.collect(),
        next_offset: topic.end,
    }
}

impl State {
    /// Offsets up to which this host has applied the store's records.
    pub fn offsets(&self) -> Offsets {
        let mirrors = lock(&self.mirrors);
        Offsets {
            operator: mirrors.operator.next_offset().unwrap_or(0),
            engines: mirrors.engines.next_offset().unwrap_or(0),
        }
    }

    /// Whether this host has applied fewer records than a peer with these offsets.
    pub fn is_behind(&self, peer_offsets: Offsets) -> bool {
        self.offsets().is_behind(peer_offsets)
    }

    /// Starts a task that fetches the records up to `target`, which `peer` has. A host that does
    /// not read the store fetches from peers of its region at once; one that does gives the store
    /// time to deliver them first. Does nothing while such a task is running.
    pub fn start_catch_up(self: &Arc<Self>, peer: Ipv4Addr, target: Offsets) {
        if self.is_fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let state = Arc::clone(self);
        tokio::spawn(async move {
            state.catch_up(peer, target).await;
            state.is_fetching.store(false, Ordering::Release);
        });
    }

    async fn catch_up(self: &Arc<Self>, peer: Ipv4Addr, target: Offsets) {
        if self.offsets() == Offsets::default() || !self.reads_store() {
            for _ in 0..REGIONAL_ATTEMPTS {
                let Some(regional_peer) = self.regional_peer_ahead() else {
                    break;
                };
                fetch(self, regional_peer).await;
            }
        }
        if !self.is_behind(target) {
            return;
        }
        time::sleep(STORE_DELAY).await;
        if self.is_behind(target) {
            fetch(self, peer).await;
        }
    }

    /// Address of a random peer of this region that has applied more records. The random choice
    /// spreads the load over these peers.
    pub fn regional_peer_ahead(&self) -> Option<Ipv4Addr> {
        let own = self.offsets();
        self.with_regional_peers(|peers| {
            let ahead = peers.filter(|(_, peer)| own.is_behind(peer.offsets));
            ahead.map(|(_, peer)| peer.address).choose(&mut rand::rng())
        })
    }
}

/// Fetches and applies the records of a peer that are newer than this host's.
async fn fetch(state: &Arc<State>, peer: Ipv4Addr) {
    let address = SocketAddr::new(IpAddr::V4(peer), state.settings.internal_port);
    let mut client = Client::new(address, CONNECT_TIMEOUT);
    let own = state.offsets();
    let path = format!("{PATH}?operator={}&engines={}", own.operator, own.engines);
    let response = client
        .download(Request::get(&path), READ_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    let body: Bytes = match response {
        Ok((head, body)) if head.status.is_success() => body,
        Ok((head, _)) => {
            event!(Warn, "pull_refused", peer = peer, status = head.status);
            return;
        }
        Err(cause) => {
            event!(Warn, "pull_failed", peer = peer, reason = cause);
            return;
        }
    };
    let records = match Records::decode(body) {
        Ok(records) => records,
        Err(cause) => {
            state.metrics.malformed_packets.inc();
            event!(Warn, "pull_malformed", peer = peer, reason = cause);
            return;
        }
    };
    let received = clock::now();
    let grace = Duration::from_millis(records.lenient_ms.min(LISTING_GRACE.as_millis() as u64));
    let grace_until = (!grace.is_zero()).then(|| received + grace);
    let operator = records.operator.map(decode);
    let changes =
        operator.map(|batch| with_mirror(state, Topic::Operator, |mirror| mirror.apply(batch)));
    let operator_changes = changes.as_ref().map_or(0, Vec::len);
    watch::apply_operator(state, &changes.unwrap_or_default());
    let engines = records.engines.map(decode);
    let changes =
        engines.map(|batch| with_mirror(state, Topic::Engines, |mirror| mirror.apply(batch)));
    let engine_changes = changes.as_ref().map_or(0, Vec::len);
    if let Some(changes) = changes {
        watch::apply_engines(state, &changes, grace_until);
    }
    event!(
        Info,
        "records_from_peer",
        peer = peer,
        operator = operator_changes,
        engines = engine_changes,
        took_us = clock::now().saturating_duration_since(received).as_micros()
    );
}
