//! Handles heartbeats and requests of peers.

use {
    crate::{
        attempt,
        metrics::Metrics,
        shared::{Shared, lock},
        upload,
    },
    jayspread_net::{
        event, link,
        session::{Session, Writer},
        sync::Running,
    },
    jayspread_schema::wire::{Beat, Hello, Pull, Role, Update, ask, reply},
    quinn::RecvStream,
    std::sync::{Arc, atomic::Ordering},
};

/// Handler of an agent's peer connections.
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    /// Creates a handler for the agent with this state.
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
        }
    }

    /// Pulls configuration from a peer that has a newer one. Only one pull runs at a time.
    fn pull_config(&self, session: &Session) {
        if self.shared.pull_running.swap(true, Ordering::AcqRel) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let session = session.clone();
        tokio::spawn(async move {
            let _running = Running::new(&shared.pull_running);
            let pull = {
                let config = lock(&shared.config);
                Pull {
                    revision: config.replica.revision(),
                    roster: config.roster,
                }
            };
            let timeout = shared.settings.timing.call_timeout;
            match session.call(ask::Kind::Pull(pull), timeout).await {
                Ok(reply::Kind::Update(update)) => shared.apply_update(&update),
                Ok(_) => Metrics::count(&shared.metrics.malformed, "update"),
                Err(cause) => attempt::log_stream_error(&session.peer.host, &cause),
            }
        });
    }

    fn is_entry(peer: &Hello) -> bool {
        peer.role == i32::from(Role::Entry)
    }

    fn is_local_entry(&self, peer: &Hello) -> bool {
        Self::is_entry(peer) && *peer.data_centre == *self.shared.settings.place.data_centre
    }

    /// Configuration changes since the revision that a peer has, or a checkpoint if they are too
    /// many.
    fn missing_config(&self, pull: &Pull) -> Update {
        let config = lock(&self.shared.config);
        let mut update = Update {
            roster: config.roster,
            ..Update::default()
        };
        match config.replica.changes_since(pull.revision) {
            Some(changes) => update.changes = changes,
            None => update.checkpoint = Some(config.replica.checkpoint()),
        }
        update
    }
}

impl link::Handler for Handler {
    fn heartbeat(&self, peer: &Hello) -> Beat {
        let load = Self::is_entry(peer).then(|| self.shared.load());
        let revision = lock(&self.shared.config).replica.revision();
        Beat {
            revision,
            load,
            leaving: self.shared.leaving.load(Ordering::Relaxed),
            ..Beat::default()
        }
    }

    fn on_heartbeat(&self, session: &Session, heartbeat: &Beat) {
        let peer = &session.peer;
        if self.is_local_entry(peer) {
            let mut grants = lock(&self.shared.grants);
            if heartbeat.leaving {
                grants.forget(&peer.host);
            } else {
                grants.record(&peer.host, &heartbeat.may_load);
            }
            drop(grants);
            self.shared.control_wakeup.notify_one();
        }
        let (revision, roster) = {
            let config = lock(&self.shared.config);
            (config.replica.revision(), config.roster)
        };
        let roster_changed =
            self.is_local_entry(peer) && heartbeat.roster != 0 && heartbeat.roster != roster;
        if heartbeat.revision > revision || roster_changed {
            self.pull_config(session);
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        session: Session,
        request: ask::Kind,
        mut writer: Writer,
        rest: RecvStream,
    ) {
        let shared = &self.shared;
        let is_entry = Self::is_entry(&session.peer);
        match request {
            ask::Kind::Submit(submit) if is_entry => attempt::submit(shared, submit, writer).await,
            ask::Kind::Recall(recall) if is_entry => attempt::recall(shared, recall, writer).await,
            ask::Kind::Cancel(cancel) if is_entry => attempt::cancel(shared, cancel, writer).await,
            ask::Kind::Ack(ack) if is_entry => attempt::acknowledge(shared, &ack.request.into()),
            ask::Kind::Fetch(fetch) => upload::serve_chunk(shared, &session, fetch, writer).await,
            ask::Kind::Pull(pull) => {
                let update = self.missing_config(&pull);
                let _ = writer.write(reply::Kind::Update(update)).await;
                writer.close();
            }
            _ => {
                event!(Warn, "ask_refused", peer = session.peer.host);
                Metrics::count(&shared.metrics.malformed, "ask");
            }
        }
        drop(rest);
    }

    fn on_connection_change(&self, session: &Session, open: bool) {
        if !open && self.is_local_entry(&session.peer) {
            lock(&self.shared.grants).forget(&session.peer.host);
        }
    }

    fn record_malformed(&self, _peer: &str, kind: &str) {
        Metrics::count(&self.shared.metrics.malformed, kind);
    }
}
