//! Readiness and state dump of an entry host.

use {
    crate::{
        shared::{Shared, lock},
        slots::Backend,
    },
    jayspread_core::{config::State, id::Host},
    jayspread_net::{admin::View, clock},
    jayspread_schema::wire::Phase,
    serde_json::{Value, json},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Time after startup at which an entry host becomes ready even if it has not read the whole log.
const MAX_STARTUP: Duration = Duration::from_secs(30);

impl View for Shared {
    fn ready(&self) -> Result<(), Box<str>> {
        if self.shutting_down.load(Ordering::Relaxed) {
            return Err("leaving".into());
        }
        let state = self.state();
        let startup_expired = clock::now() > self.started_at + MAX_STARTUP;
        if state.bundle.is_none() || !(self.caught_up.load(Ordering::Relaxed) || startup_expired) {
            return Err("starting".into());
        }
        if !state.accepts_work(&self.settings.place.data_centre) {
            return Err("data centre is out".into());
        }
        self.tasks.check()
    }

    fn dump(&self) -> Value {
        let location = &self.settings.place;
        let state = self.state();
        let backends = self.slots.backends();
        let backend_dumps = backends
            .iter()
            .map(|(host, backend)| (host.to_string(), self.dump_backend(host, backend)));
        let projection = {
            let projection = lock(&self.projection);
            json!({
                "next_offset": projection.next_offset,
                "checkpoint": projection.last_checkpoint,
                "claims": projection.ledger.len(),
            })
        };
        let links = lock(&self.links).len();
        let health: serde_json::Map<String, Value> = {
            let roster = lock(&self.roster);
            let hosts = roster.health.iter();
            hosts
                .map(|(host, h)| (host.to_string(), json!(format!("{h:?}"))))
                .collect()
        };
        json!({
            "host": location.host,
            "data_centre": location.data_centre,
            "region": location.region,
            "role": "entry",
            "ready": self.ready().err().unwrap_or("yes".into()),
            "incarnation": self.node.identity.incarnation.to_string(),
            "revision": state.revision,
            "version": active_version(&state),
            "fence": state.fence,
            "out": state.drained,
            "log": {
                "up": self.log_up.load(Ordering::Relaxed),
                "journal": projection,
                "claims_waiting": !self.claims.is_idle(),
            },
            "calls": self.active_calls.load(Ordering::Relaxed),
            "in_flight": self.slots.total_in_flight(),
            "queued": self.slots.queue_length(),
            "pauses": self.slots.pause_reasons(),
            "links": links,
            "health": health,
            "backend_servers": backend_dumps.collect::<serde_json::Map<_, _>>(),
        })
    }

    fn refresh(&self) {
        self.metrics
            .in_flight
            .set(self.slots.total_in_flight().into());
        self.metrics
            .queue_length
            .set(self.slots.queue_length() as i64);
        let log_up = self.log_up.load(Ordering::Relaxed);
        self.metrics.log_up.set(log_up.into());
    }
}

impl Shared {
    fn dump_backend(&self, host: &Host, backend: &Backend) -> Value {
        let load = &backend.load;
        let phase: Phase = load.phase();
        json!({
            "data_centre": backend.data_centre,
            "service": load.service,
            "alive": backend.alive,
            "listed_leaving": backend.listed_leaving,
            "phase": phase.as_str_name(),
            "serving": load.serving,
            "wanted": load.wanted,
            "pause": load.pause,
            "running": load.running,
            "waiting": load.waiting,
            "limit": load.limit,
            "first_byte_us": load.first_byte_us,
            "in_flight": self.slots.in_flight(host),
            "chunks": load.chunks,
            "chunks_wanted": load.chunks_wanted,
        })
    }
}

fn active_version(state: &State) -> Option<&str> {
    state.bundle.as_ref().map(|b| &*b.version)
}
