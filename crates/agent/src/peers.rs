//! Connections to other agents, opened when chunks are wanted from them.

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

/// Idle time after which a connection to a peer is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Time for which a peer that sent corrupt chunks is left alone.
const PENALTY: Duration = Duration::from_secs(30);
/// Corrupt chunks after which a peer is left alone.
const STRIKES: u32 = 2;

struct Peer {
    link: Arc<Link>,
    address: SocketAddr,
    used: Instant,
}

#[derive(Default)]
struct Strikes {
    count: u32,
    until: Option<Instant>,
}

/// Connections by host.
#[derive(Default)]
pub struct Peers {
    open: Mutex<BTreeMap<Host, Peer>>,
    strikes: Mutex<BTreeMap<Host, Strikes>>,
}

impl Peers {
    /// Connection to `host`, waiting at most `limit` for it to open.
    pub async fn session(
        &self,
        shared: &Arc<Shared>,
        host: &Host,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<Session> {
        let link = self.link(shared, host, address);
        match link.session() {
            Some(session) => Some(session),
            None => link.wait_for_other(None, limit).await,
        }
    }

    /// Connection to `host`, which opens in the background when it is new.
    pub fn link(&self, shared: &Arc<Shared>, host: &Host, address: SocketAddr) -> Arc<Link> {
        let mut open = lock(&self.open);
        let now = clock::now();
        if let Some(peer) = open.get_mut(host)
            && peer.address == address
        {
            peer.used = now;
            return Arc::clone(&peer.link);
        }
        let handler = Arc::new(Handler::new(shared));
        let link = Link::open(shared.node.clone(), address, host.clone(), handler);
        let peer = Peer {
            link: Arc::new(link),
            address,
            used: now,
        };
        let link = Arc::clone(&peer.link);
        open.insert(host.clone(), peer);
        link
    }

    /// Closes all connections.
    pub fn close(&self) {
        lock(&self.open).clear();
    }

    /// Closes connections that were not used for some time.
    pub fn tidy(&self, now: Instant) {
        lock(&self.open).retain(|_, peer| now < peer.used + IDLE);
        lock(&self.strikes).retain(|_, s| s.until.is_none_or(|until| now < until));
    }

    /// Notes a corrupt chunk of a peer.
    pub fn strike(&self, host: &Host, now: Instant) {
        let mut strikes = lock(&self.strikes);
        let strikes = strikes.entry(host.clone()).or_default();
        strikes.count += 1;
        if strikes.count >= STRIKES {
            strikes.until = Some(now + PENALTY);
        }
    }

    /// Whether a peer is left alone for its corrupt chunks.
    pub fn shunned(&self, host: &Host, now: Instant) -> bool {
        let strikes = lock(&self.strikes);
        let until = strikes.get(host).and_then(|s| s.until);
        until.is_some_and(|until| now < until)
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }
}
