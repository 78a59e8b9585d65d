//! Readiness check, state dump and gauge refresh for the administration port.

use {
    crate::shared::{Shared, lock},
    jayspread_net::admin::View,
    jayspread_schema::{settings::Kind, wire::Phase},
    serde_json::{Value, json},
    std::sync::atomic::Ordering,
};

impl View for Shared {
    fn ready(&self) -> Result<(), Box<str>> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err("leaving".into());
        }
        let serving = self.load().phase == i32::from(Phase::Serving);
        if self.settings.backend.kind == Kind::Engine && !serving {
            return Err("no version served".into());
        }
        self.tasks.check()
    }

    fn dump(&self) -> Value {
        let location = &self.settings.place;
        let load = self.load();
        let loader = lock(&self.loader).state().to_string();
        let members = lock(&self.config).members.len();
        let state = self.state();
        let (held_chunks, evicted_chunks) = lock(&self.chunks).counts();
        let phase = load.phase().as_str_name();
        json!({
            "host": location.host,
            "data_centre": location.data_centre,
            "region": location.region,
            "role": "agent",
            "incarnation": self.node.identity.incarnation.to_string(),
            "revision": state.revision,
            "fence": state.fence,
            "out": state.drained,
            "members": members,
            "service": load.service,
            "phase": phase,
            "loader": loader,
            "serving": load.serving,
            "wanted": load.wanted,
            "pause": load.pause,
            "running": load.running,
            "waiting": load.waiting,
            "limit": load.limit,
            "first_byte_us": load.first_byte_us,
            "attempts_remembered": lock(&self.admission).remembered(),
            "answers_kept": lock(&self.responses).len(),
            "chunks": {
                "staged": load.chunks,
                "wanted": load.chunks_wanted,
                "held": held_chunks,
                "held_bytes": lock(&self.chunks).held_bytes(),
                "evicted": evicted_chunks,
                "sent_bytes": lock(&self.chunks).uploaded_bytes(),
            },
            "peers": self.peers.count(),
            "bytes": {
                "from_origin": self.metrics.bytes_from_origin.get(),
                "from_peers": self.metrics.bytes_from_peers.get(),
                "sent": self.metrics.bytes_sent.get(),
                "sent_far": self.metrics.bytes_sent_cross_region.get(),
            },
        })
    }

    fn refresh(&self) {
        let load = self.load();
        self.metrics.running.set(load.running.into());
        self.metrics.waiting.set(load.waiting.into());
        self.metrics.limit.set(load.limit.into());
        self.metrics
            .chunk_bytes
            .set(lock(&self.chunks).held_bytes() as i64);
    }
}
