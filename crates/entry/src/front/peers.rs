//! Exchange of store records between entry hosts: a host that is behind fetches them from a peer.

use {
    crate::{
        front::{
            gossip,
            records::{self, Source},
            state::{Offsets, State},
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
    jayspread_core::{
        id::Host,
        mirror::{Batch, Position, Record},
        placement::LISTING_GRACE,
    },
    jayspread_net::{
        client::{Client, Request},
        clock, event,
        sync::Running,
    },
    jayspread_platform::store::Topic,
    jayspread_schema::peer::{Records, Role, Topic as TopicMessage},
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
/// fetched from the peer. Such waits of hosts that tell each other add up.
const STORE_DELAY: Duration = Duration::from_millis(400);
/// Interval between checks whether the store has delivered them.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time that a host which does not read the store waits for records from its own region before it
/// fetches them from another one.
const REGIONAL_DELAY: Duration = Duration::from_millis(200);
/// Number of fetches from peers of the own region before one from another region.
const REGIONAL_ATTEMPTS: usize = 3;
/// Timeout for each read of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// News that a peer has applied records which this host lacks.
#[derive(Debug, Clone)]
pub struct News {
    /// Name of the peer.
    pub peer: Host,
    /// Its address.
    pub address: Ipv4Addr,
    /// Positions that it has reached.
    pub target: Offsets,
    /// Revision of its configuration.
    pub revision: u64,
    /// Host of this region that read the records from the store, if it is known.
    pub root: Option<Host>,
}

/// Routes that peers call.
pub fn router(state: Arc<State>) -> Router {
    Router::new().route(PATH, get(records)).with_state(state)
}

/// Query parameters: first position wanted of each topic.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
struct Params {
    #[serde(default)]
    operator_era: u64,
    #[serde(default)]
    operator: u64,
    #[serde(default)]
    engines_era: u64,
    #[serde(default)]
    engines: u64,
}

impl Params {
    fn offsets(self) -> Offsets {
        Offsets {
            operator: Position {
                era: self.operator_era,
                offset: self.operator,
            },
            engines: Position {
                era: self.engines_era,
                offset: self.engines,
            },
        }
    }
}

async fn records(
    extract::State(state): extract::State<Arc<State>>,
    Query(params): Query<Params>,
) -> impl IntoResponse {
    let from = params.offsets();
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
        end: batch.end.offset,
        records: records.collect(),
        era: batch.end.era,
        complete: batch.complete,
    }
}

/// Decodes a peer's response to a request for the records from `start` on.
fn decode(topic: TopicMessage, start: Position) -> Batch {
    let records = topic.records.into_iter().map(|record| Record {
        key: record.key.into(),
        value: (!record.removed).then_some(record.value),
        offset: record.offset,
    });
    Batch {
        records: records.collect(),
        start,
        end: Position {
            era: topic.era,
            offset: topic.end,
        },
        complete: topic.complete,
    }
}

impl State {
    /// Positions up to which this host has applied the store's records.
    pub fn offsets(&self) -> Offsets {
        let mirrors = lock(&self.mirrors);
        Offsets {
            operator: mirrors.operator.next().unwrap_or_default(),
            engines: mirrors.engines.next().unwrap_or_default(),
        }
    }

    /// Whether this host has applied fewer records than a peer with these positions.
    pub fn is_behind(&self, peer_offsets: Offsets) -> bool {
        self.offsets().is_behind(peer_offsets)
    }

    /// Fetches the records that a peer has in a task. While such a task is running, the latest call
    /// for each root is carried out after it.
    pub fn start_catch_up(self: &Arc<Self>, news: News) {
        lock(&self.pending_news).insert(news.root.clone(), news);
        if self.is_fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let _running = Running::new(&state.is_fetching);
            loop {
                let next = lock(&state.pending_news).pop_first();
                match next {
                    Some((_, news)) => state.catch_up(&news).await,
                    None => break,
                }
            }
        });
    }

    /// Fetches the records of a peer, and passes on news. A host that does not read the store fetches
    /// from peers of its region, or else from any; one that does gives the store time to deliver
    /// the records first.
    async fn catch_up(self: &Arc<Self>, news: &News) {
        let own = self.offsets();
        if own.is_behind(news.target) {
            event!(
                Info,
                "behind_peer",
                peer = news.peer,
                root = news.root.as_deref().unwrap_or_default(),
                operator = own.operator.offset,
                peer_operator = news.target.operator.offset,
                engines = own.engines.offset,
                peer_engines = news.target.engines.offset,
                store_topics_lost = self.failing_topics.load(Ordering::Relaxed)
            );
        }
        let is_regional = lock(&self.roster)
            .contact(&news.peer)
            .is_some_and(|contact| contact.role == Role::Entry && contact.region == self.region);
        let store_answers = self.failing_topics.load(Ordering::Relaxed) == 0;
        let is_reader = own != Offsets::default() && self.reads_store() && store_answers;
        let store_deadline = clock::now() + STORE_DELAY;
        while is_reader && self.is_behind(news.target) && clock::now() < store_deadline {
            time::sleep(STORE_CHECK_INTERVAL).await;
        }
        let mut changes = 0;
        if is_regional && !self.has_reached(news) {
            changes += fetch(self, news.address).await;
        }
        if !is_reader {
            changes += self.fetch_from_region(news.target).await;
        }
        if !self.has_reached(news) {
            changes += fetch(self, news.address).await;
        }
        match &news.root {
            Some(root) if !self.is_behind(news.target) => gossip::pass_on_news(self, root),
            // Nobody has told the region, or only by chance.
            None if changes > 0 => gossip::pass_on_news(self, &self.settings.host),
            _ => {}
        }
    }

    /// Whether this host has the records and the configuration that the news are about.
    fn has_reached(&self, news: &News) -> bool {
        let revision = self.catalog().map_or(0, |catalog| catalog.revision);
        !self.is_behind(news.target) && revision >= news.revision
    }

    /// Fetches from peers of this region until the target is reached or none of them is ahead;
    /// returns the number of changes.
    async fn fetch_from_region(self: &Arc<Self>, target: Offsets) -> usize {
        let mut changes = 0;
        for attempt in 0..REGIONAL_ATTEMPTS {
            if !self.is_behind(target) {
                break;
            }
            match self.regional_peer_ahead() {
                Some(peer) => changes += fetch(self, peer).await,
                None if attempt == 0 => time::sleep(REGIONAL_DELAY).await,
                None => break,
            }
        }
        changes
    }

    /// Address of a random peer of this region that has applied more records. The random choice
    /// spreads the load over these peers.
    pub fn regional_peer_ahead(&self) -> Option<Ipv4Addr> {
        let own = self.offsets();
        self.with_regional_peers(|peers| {
            let known = peers.filter_map(|(_, peer)| peer);
            let ahead = known.filter(|peer| own.is_behind(peer.offsets));
            ahead.map(|peer| peer.address).choose(&mut rand::rng())
        })
    }
}

/// Fetches and applies the records of a peer that are newer than this host's; returns the number of
/// changes.
async fn fetch(state: &Arc<State>, peer: Ipv4Addr) -> usize {
    let address = SocketAddr::new(IpAddr::V4(peer), state.settings.internal_port);
    let mut client = Client::new(address, CONNECT_TIMEOUT);
    let own = state.offsets();
    let path = format!(
        "{PATH}?operator_era={}&operator={}&engines_era={}&engines={}",
        own.operator.era, own.operator.offset, own.engines.era, own.engines.offset
    );
    let response = client
        .download(Request::get(&path), READ_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    let body: Bytes = match response {
        Ok((head, body)) if head.status.is_success() => body,
        Ok((head, _)) => {
            event!(Warn, "pull_refused", peer = peer, status = head.status);
            return 0;
        }
        Err(cause) => {
            event!(Warn, "pull_failed", peer = peer, reason = cause);
            return 0;
        }
    };
    let records = match Records::decode(body) {
        Ok(records) => records,
        Err(cause) => {
            state.metrics.malformed_packets.inc();
            event!(Warn, "pull_malformed", peer = peer, reason = cause);
            return 0;
        }
    };
    let received = clock::now();
    let grace = Duration::from_millis(records.lenient_ms.min(LISTING_GRACE.as_millis() as u64));
    let grace_until = (!grace.is_zero()).then(|| received + grace);
    let operator = records.operator.map(|topic| decode(topic, own.operator));
    let source = Source::Peer;
    let operator_changes = operator.map_or(0, |batch| {
        records::apply(state, Topic::Operator, batch, source, None)
    });
    let engines = records.engines.map(|topic| decode(topic, own.engines));
    let engine_changes = engines.map_or(0, |batch| {
        records::apply(state, Topic::Engines, batch, source, grace_until)
    });
    event!(
        Info,
        "records_from_peer",
        peer = peer,
        operator = operator_changes,
        engines = engine_changes,
        took_us = clock::now().saturating_duration_since(received).as_micros()
    );
    operator_changes + engine_changes
}
