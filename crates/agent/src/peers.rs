//! Connections to other agents, opened on demand, and quarantine of agents that send corrupt
//! chunks.

use {
    crate::{
        handler::Handler,
        shared::{Shared, lock},
    },
    jayspread_core::id::Host,
    jayspread_net::{clock, link::Link, session::Session},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Time without use after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which no chunks are fetched from a peer that sent corrupt ones.
const QUARANTINE_TIME: Duration = Duration::from_secs(30);
/// Number of corrupt chunks after which a peer is quarantined.
const QUARANTINE_THRESHOLD_CHUNKS: u32 = 2;

struct Connection {
    link: Arc<Link>,
    address: SocketAddr,
    last_used: Instant,
}

#[derive(Default)]
struct CorruptionRecord {
    chunks: u32,
    quarantined_until: Option<Instant>,
}

/// Connections and quarantine state, by host.
#[derive(Default)]
pub struct Peers {
    connections: Mutex<BTreeMap<Host, Connection>>,
    corruption_records: Mutex<BTreeMap<Host, CorruptionRecord>>,
}

impl Peers {
    /// Session with `host`, waiting at most `timeout` for the connection to open.
    pub async fn session(
        &self,
        shared: &Arc<Shared>,
        host: &Host,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<Session> {
        let link = self.link(shared, host, address);
        match link.session() {
            Some(session) => Some(session),
            None => link.wait_for_other(None, timeout).await,
        }
    }

    /// Connection to `host`; a new one opens in the background.
    pub fn link(&self, shared: &Arc<Shared>, host: &Host, address: SocketAddr) -> Arc<Link> {
        let mut connections = lock(&self.connections);
        let now = clock::now();
        if let Some(connection) = connections.get_mut(host)
            && connection.address == address
        {
            connection.last_used = now;
            return Arc::clone(&connection.link);
        }
        let handler = Arc::new(Handler::new(shared));
        let link = Link::open(shared.node.clone(), address, host.clone(), handler);
        let connection = Connection {
            link: Arc::new(link),
            address,
            last_used: now,
        };
        let link = Arc::clone(&connection.link);
        connections.insert(host.clone(), connection);
        link
    }

    /// Closes all connections.
    pub fn close(&self) {
        lock(&self.connections).clear();
    }

    /// Closes idle connections and ends expired quarantines.
    pub fn remove_expired(&self, now: Instant) {
        lock(&self.connections).retain(|_, connection| now < connection.last_used + IDLE_TIMEOUT);
        lock(&self.corruption_records)
            .retain(|_, record| record.quarantined_until.is_none_or(|until| now < until));
    }

    /// Records a corrupt chunk from a peer and quarantines the peer at the threshold.
    pub fn record_corrupt_chunk(&self, host: &Host, now: Instant) {
        let mut records = lock(&self.corruption_records);
        let record = records.entry(host.clone()).or_default();
        record.chunks += 1;
        if record.chunks >= QUARANTINE_THRESHOLD_CHUNKS {
            record.quarantined_until = Some(now + QUARANTINE_TIME);
        }
    }

    /// Whether a peer is quarantined.
    pub fn is_quarantined(&self, host: &Host, now: Instant) -> bool {
        let records = lock(&self.corruption_records);
        let until = records
            .get(host)
            .and_then(|record| record.quarantined_until);
        until.is_some_and(|until| now < until)
    }

    /// Number of connections, including those still opening.
    pub fn count(&self) -> usize {
        lock(&self.connections).len()
    }
}
