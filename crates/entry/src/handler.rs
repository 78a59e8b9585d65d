//! Handles heartbeats and requests of agents and other entry hosts.

use {
    crate::{
        metrics,
        shared::{Shared, lock},
    },
    jayspread_core::member::Change,
    jayspread_net::{
        clock, event, link,
        session::{Session, Writer},
        sync::Running,
    },
    jayspread_schema::wire::{Beat, Hello, Pull, Role, Update, ask, reply},
    quinn::RecvStream,
    std::sync::{Arc, atomic::Ordering},
};

/// Handler of an entry host's peer connections.
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

    /// Pulls configuration from a peer with a higher revision, one pull at a time.
    fn pull(&self, session: &Session) {
        if self.shared.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let session = session.clone();
        tokio::spawn(async move {
            let _running = Running::new(&shared.pulling);
            let revision = lock(&shared.projection).config.revision();
            let pull = Pull {
                revision,
                roster: 0,
            };
            let timeout = shared.settings.timing.call_timeout;
            match session.call(ask::Kind::Pull(pull), timeout).await {
                Ok(reply::Kind::Update(update)) => shared.apply_update(&update),
                Ok(_) => metrics::count(&shared.metrics.malformed, "update"),
                Err(cause) => event!(Debug, "pull_failed", reason = cause),
            }
        });
    }

    /// Returns the configuration changes that a peer is missing, or a checkpoint if some are
    /// no longer retained, and the roster if it differs from the peer's.
    fn update(&self, pull: &Pull) -> Update {
        let mut update = Update::default();
        {
            let projection = lock(&self.shared.projection);
            match projection.config.changes_since(pull.revision) {
                Some(changes) => update.changes = changes,
                None => update.checkpoint = Some(projection.config.checkpoint()),
            }
        }
        let roster = lock(&self.shared.roster);
        update.roster = roster.digest;
        if roster.digest != pull.roster {
            update.members = roster.live_agents();
        }
        update
    }

    /// Applies the load in an agent's heartbeat.
    fn apply_load(&self, session: &Session, beat: &Beat) {
        let peer = &session.peer;
        let Some(load) = &beat.load else {
            metrics::count(&self.shared.metrics.malformed, "heartbeat_without_load");
            return;
        };
        let slots = &self.shared.slots;
        slots.apply_report(
            &peer.host,
            &peer.data_centre,
            peer.incarnation,
            load.clone(),
        );
        if beat.leaving {
            slots.set_alive(&peer.host, false);
        }
    }
}

impl link::Handler for Handler {
    fn heartbeat(&self, peer: &Hello) -> Beat {
        let shared = &self.shared;
        let revision = lock(&shared.projection).config.revision();
        let roster = lock(&shared.roster).digest;
        let mut beat = Beat {
            revision,
            leaving: shared.shutting_down.load(Ordering::Relaxed),
            log_up: shared.log_up.load(Ordering::Relaxed),
            ..Beat::default()
        };
        if peer.role == i32::from(Role::Agent) {
            beat.roster = roster;
            if shared.slots.may_load(&peer.host) {
                let state = shared.state();
                let version = state.bundle.as_ref().map(|b| b.version.to_string());
                beat.may_load = version.unwrap_or_default();
            }
        }
        beat
    }

    fn on_heartbeat(&self, session: &Session, beat: &Beat) {
        let peer = &session.peer;
        let shared = &self.shared;
        let change = {
            let mut roster = lock(&shared.roster);
            let health = &mut roster.health;
            health.heartbeat(
                &peer.host,
                peer.incarnation,
                beat.sequence,
                beat.leaving,
                clock::now(),
            )
        };
        if change != Change::None {
            event!(
                Info,
                "host_heard",
                host = peer.host,
                change = format!("{change:?}")
            );
            lock(&shared.roster).update_digest();
        }
        if peer.role == i32::from(Role::Agent) {
            self.apply_load(session, beat);
        }
        if beat.revision > lock(&shared.projection).config.revision() {
            self.pull(session);
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        session: Session,
        ask: ask::Kind,
        mut writer: Writer,
        request_stream: RecvStream,
    ) {
        match ask {
            ask::Kind::Pull(pull) => {
                let update = self.update(&pull);
                let _ = writer.write(reply::Kind::Update(update)).await;
                writer.close();
            }
            _ => {
                event!(Warn, "ask_refused", peer = session.peer.host);
                metrics::count(&self.shared.metrics.malformed, "ask");
            }
        }
        drop(request_stream);
    }

    fn on_connection_change(&self, session: &Session, open: bool) {
        if !open && session.peer.role == i32::from(Role::Agent) {
            self.shared.slots.set_alive(&session.peer.host, false);
        }
    }

    fn record_malformed(&self, _peer: &str, kind: &str) {
        metrics::count(&self.shared.metrics.malformed, kind);
    }
}
