//! Pool of idle connections to engines, by engine process.

use {
    jayspread_core::quarantine::Instance,
    jayspread_net::channel::Channel,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of idle connections per engine.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Idle connections of all engines.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<Instance, Vec<Channel>>,
}

impl Pool {
    /// Takes the most recently used connection that has been idle for less than `max_idle`; older
    /// ones are closed.
    pub fn take(&mut self, engine: &Instance, max_idle: Duration) -> Option<Channel> {
        let idle = self.idle.get_mut(engine)?;
        while let Some(channel) = idle.pop() {
            if channel.is_reusable(max_idle) {
                return Some(channel);
            }
        }
        None
    }

    /// Whether an idle connection to the engine is open.
    pub fn is_connected(&self, engine: &Instance) -> bool {
        let idle = self.idle.get(engine);
        idle.is_some_and(|idle| {
            idle.iter()
                .any(|channel| channel.is_reusable(Duration::MAX))
        })
    }

    /// Returns a connection to the pool; closes it if its last response was not read completely or
    /// if the engine has enough idle connections.
    pub fn put(&mut self, engine: &Instance, channel: Channel) {
        if !channel.is_clean() {
            return;
        }
        let idle = self.idle.entry(engine.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(channel);
        }
    }

    /// Closes connections to engines that are not listed and connections that are no longer
    /// reusable.
    pub fn prune(&mut self, listed: &BTreeSet<Instance>) {
        self.idle.retain(|engine, idle| {
            idle.retain(|channel| channel.is_reusable(Duration::MAX));
            listed.contains(engine) && !idle.is_empty()
        });
    }
}
