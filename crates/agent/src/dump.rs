//! State dump and readiness of an agent.

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
        Ok(())
    }

    fn dump(&self) -> Value {
        let place = &self.settings.place;
        let load = self.load();
        let loader = lock(&self.loader).state().to_string();
        let members = lock(&self.config).members.len();
        let state = self.state();
        let (held, evicted) = lock(&self.chunks).counts();
        let phase = load.phase().as_str_name();
        json!({
            "host": place.host,
            "data_centre": place.data_centre,
            "region": place.region,
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
            "attempts_remembered": lock(&self.admit).remembered(),
            "answers_kept": lock(&self.answers).len(),
            "chunks": {
                "staged": load.chunks,
                "wanted": load.chunks_wanted,
                "held": held,
                "held_bytes": lock(&self.chunks).bytes(),
                "evicted": evicted,
                "sent_bytes": lock(&self.chunks).sent(),
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
            .set(lock(&self.chunks).bytes() as i64);
    }
}
