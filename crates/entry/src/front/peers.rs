//! Records over peers: a host that cannot read the store takes them from one that could.

use {
    crate::{
        front::{
            site::{Ends, Site},
            watch::{self, mirror},
        },
        shared::lock,
    },
    axum::{
        Router,
        extract::{Query, State},
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
    jayspread_schema::peer::{Records, Topic as Wire},
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

/// Path under which peers ask for records.
const PATH: &str = "/records";
/// Time that the store has to show what a peer has seen before the peer is asked.
const PATIENCE: Duration = Duration::from_millis(700);
/// Peers of the own region that are asked, one after the other, before one of another region.
const NEAR_TRIES: usize = 3;
/// Longest wait for more of an answer.
const CALL: Duration = Duration::from_millis(1_500);
/// Time to connect.
const CONNECT: Duration = Duration::from_millis(500);
/// Largest answer taken, bytes.
const ANSWER_MAX: usize = 8 << 20;

/// Routes for peers.
pub fn router(site: Arc<Site>) -> Router {
    Router::new().route(PATH, get(records)).with_state(site)
}

/// Offsets from which a peer wants the records.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
struct From {
    #[serde(default)]
    operator: u64,
    #[serde(default)]
    engines: u64,
}

async fn records(State(site): State<Arc<Site>>, Query(from): Query<From>) -> impl IntoResponse {
    let lenience = site.lenience().unwrap_or_default();
    let mirrors = lock(&site.mirrors);
    let wire = |batch: Option<Batch>| batch.map(encode);
    let all = Records {
        operator: wire(mirrors.operator.batch(from.operator)),
        engines: wire(mirrors.engines.batch(from.engines)),
        lenient_ms: lenience.as_millis() as u64,
    };
    (StatusCode::OK, all.encode_to_vec())
}

fn encode(batch: Batch) -> Wire {
    let records = batch
        .records
        .into_iter()
        .map(|record| jayspread_schema::peer::Record {
            key: record.key.to_string(),
            removed: record.value.is_none(),
            value: record.value.unwrap_or_default(),
            offset: record.offset,
        });
    Wire {
        end: batch.next_offset,
        records: records.collect(),
    }
}

fn decode(wire: Wire) -> Batch {
    let records = wire.records.into_iter().map(|record| Record {
        key: record.key.into(),
        value: (!record.removed).then_some(record.value),
        offset: record.offset,
    });
    Batch {
        records: records.collect(),
        next_offset: wire.end,
    }
}

impl Site {
    /// Ends of the records that this host has applied.
    pub fn ends(&self) -> Ends {
        let mirrors = lock(&self.mirrors);
        Ends {
            operator: mirrors.operator.end().unwrap_or(0),
            engines: mirrors.engines.end().unwrap_or(0),
        }
    }

    /// Whether a peer has seen more of the store than this host.
    pub fn lacks(&self, seen: Ends) -> bool {
        self.ends().lack(seen)
    }

    /// Asks a peer for what it has seen. A host that reads the store itself waits first whether the
    /// store shows it; the others ask one of their region at once. One such question runs at a time.
    pub fn ask_peer(self: &Arc<Self>, peer: Ipv4Addr, seen: Ends) {
        if self.asking.swap(true, Ordering::AcqRel) {
            return;
        }
        let site = Arc::clone(self);
        tokio::spawn(async move {
            site.catch_up(peer, seen).await;
            site.asking.store(false, Ordering::Release);
        });
    }

    async fn catch_up(self: &Arc<Self>, peer: Ipv4Addr, seen: Ends) {
        if self.ends() == Ends::default() || !self.reads_store() {
            for _ in 0..NEAR_TRIES {
                let Some(near) = self.near_ahead() else {
                    break;
                };
                pull(self, near).await;
            }
        }
        if !self.lacks(seen) {
            return;
        }
        time::sleep(PATIENCE).await;
        if self.lacks(seen) {
            pull(self, peer).await;
        }
    }

    /// A host of this region that has seen more of the store; one of several at random, so that no
    /// one of them serves all others.
    pub fn near_ahead(&self) -> Option<Ipv4Addr> {
        let own = self.ends();
        self.near(|near| {
            let ahead = near.filter(|(_, peer)| own.lack(peer.ends));
            ahead.map(|(_, peer)| peer.address).choose(&mut rand::rng())
        })
    }
}

/// Takes records from a peer.
async fn pull(site: &Arc<Site>, peer: Ipv4Addr) {
    let address = SocketAddr::new(IpAddr::V4(peer), site.settings.internal_port);
    let mut client = Client::new(address, CONNECT);
    let own = site.ends();
    let path = format!("{PATH}?operator={}&engines={}", own.operator, own.engines);
    let answer = client.download(Request::get(&path), CALL, ANSWER_MAX).await;
    let body: Bytes = match answer {
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
            site.metrics.nonsense.inc();
            event!(Warn, "pull_malformed", peer = peer, reason = cause);
            return;
        }
    };
    let began = clock::now();
    let lenient = Duration::from_millis(records.lenient_ms.min(LISTING_GRACE.as_millis() as u64));
    let grace = (!lenient.is_zero()).then(|| began + lenient);
    let operator = records.operator.map(decode);
    let news = operator.map(|batch| mirror(site, Topic::Operator, |m| m.apply(batch)));
    let operators = news.as_ref().map_or(0, Vec::len);
    watch::operator(site, &news.unwrap_or_default());
    let engines = records.engines.map(decode);
    let news = engines.map(|batch| mirror(site, Topic::Engines, |m| m.apply(batch)));
    let engines = news.as_ref().map_or(0, Vec::len);
    if let Some(news) = news {
        watch::engines(site, &news, grace);
    }
    event!(
        Info,
        "records_from_peer",
        peer = peer,
        operator = operators,
        engines = engines,
        took_us = clock::now().saturating_duration_since(began).as_micros()
    );
}
