//! Heartbeats and asks of peers.

use {
    crate::{
        metrics::Metrics,
        shared::{Shared, lock},
        upload, work,
    },
    jayspread_net::{
        event, link,
        session::{Session, Writer},
    },
    jayspread_schema::wire::{Beat, Hello, Pull, Role, Update, ask, reply},
    quinn::RecvStream,
    std::sync::{Arc, atomic::Ordering},
};

/// Answers the peers of an agent.
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    /// Creates the handler.
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
        }
    }

    /// Pulls configuration from an entry host that is ahead, one pull at a time.
    fn pull(&self, session: &Session) {
        if self.shared.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let session = session.clone();
        tokio::spawn(async move {
            let pull = {
                let config = lock(&shared.config);
                Pull {
                    revision: config.fold.revision(),
                    roster: config.roster,
                }
            };
            let limit = shared.settings.timing.call_timeout;
            match session.call(ask::Kind::Pull(pull), limit).await {
                Ok(reply::Kind::Update(update)) => shared.update(&update),
                Ok(_) => Metrics::count(&shared.metrics.nonsense, "update"),
                Err(cause) => work::log_error(&session.peer.host, &cause),
            }
            shared.pulling.store(false, Ordering::Release);
        });
    }

    /// Whether a peer is an entry host.
    fn from_entry(peer: &Hello) -> bool {
        peer.role == i32::from(Role::Entry)
    }

    fn own_entry(&self, peer: &Hello) -> bool {
        Self::from_entry(peer) && *peer.data_centre == *self.shared.settings.place.data_centre
    }

    /// Configuration that a peer lacks.
    fn update(&self, pull: &Pull) -> Update {
        let config = lock(&self.shared.config);
        let mut update = Update {
            roster: config.roster,
            ..Update::default()
        };
        match config.fold.changes_since(pull.revision) {
            Some(changes) => update.changes = changes,
            None => update.checkpoint = Some(config.fold.checkpoint()),
        }
        update
    }
}

impl link::Handler for Handler {
    fn heartbeat(&self, peer: &Hello) -> Beat {
        let load = Self::from_entry(peer).then(|| self.shared.load());
        let revision = lock(&self.shared.config).fold.revision();
        Beat {
            revision,
            load,
            leaving: self.shared.leaving.load(Ordering::Relaxed),
            ..Beat::default()
        }
    }

    fn on_heartbeat(&self, session: &Session, beat: &Beat) {
        let peer = &session.peer;
        if self.own_entry(peer) {
            let mut grants = lock(&self.shared.grants);
            if beat.leaving {
                grants.forget(&peer.host);
            } else {
                grants.record(&peer.host, &beat.may_load);
            }
            drop(grants);
            self.shared.wake.notify_one();
        }
        let (revision, roster) = {
            let config = lock(&self.shared.config);
            (config.fold.revision(), config.roster)
        };
        let newer_roster = self.own_entry(peer) && beat.roster != 0 && beat.roster != roster;
        if beat.revision > revision || newer_roster {
            self.pull(session);
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        session: Session,
        ask: ask::Kind,
        mut writer: Writer,
        rest: RecvStream,
    ) {
        let shared = &self.shared;
        let entry = Self::from_entry(&session.peer);
        match ask {
            ask::Kind::Submit(submit) if entry => work::submit(shared, submit, writer).await,
            ask::Kind::Recall(recall) if entry => work::recall(shared, recall, writer).await,
            ask::Kind::Cancel(cancel) if entry => work::cancel(shared, cancel, writer).await,
            ask::Kind::Ack(ack) if entry => work::acknowledge(shared, &ack.request.into()),
            ask::Kind::Fetch(fetch) => upload::answer(shared, &session, fetch, writer).await,
            ask::Kind::Pull(pull) => {
                let update = self.update(&pull);
                let _ = writer.write(reply::Kind::Update(update)).await;
                writer.close();
            }
            _ => {
                event!(Warn, "ask_refused", peer = session.peer.host);
                Metrics::count(&shared.metrics.nonsense, "ask");
            }
        }
        drop(rest);
    }

    fn on_connection_change(&self, session: &Session, open: bool) {
        if !open && self.own_entry(&session.peer) {
            lock(&self.shared.grants).forget(&session.peer.host);
        }
    }

    fn record_malformed(&self, _peer: &str, what: &str) {
        Metrics::count(&self.shared.metrics.nonsense, what);
    }
}
