//! Idle connections to engines, by the engine's life.

use {
    jayspread_core::id::Engine,
    jayspread_net::channel::Channel,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Idle connections kept to one engine.
const IDLE_MAX: usize = 16;

/// Idle connections.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<Engine, Vec<Channel>>,
}

impl Pool {
    /// Takes the connection used last, if it was idle for less than `most`.
    pub fn take(&mut self, engine: &str, most: Duration) -> Option<Channel> {
        let idle = self.idle.get_mut(engine)?;
        while let Some(channel) = idle.pop() {
            if channel.is_reusable(most) {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended cleanly; closes any other.
    pub fn put(&mut self, engine: &Engine, channel: Channel) {
        if !channel.is_clean() {
            return;
        }
        let idle = self.idle.entry(engine.clone()).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(channel);
        }
    }

    /// Closes connections to engines that are not listed and those that are idle for too long.
    pub fn tidy(&mut self, listed: &BTreeSet<Engine>) {
        self.idle.retain(|engine, idle| {
            idle.retain(|channel| channel.is_reusable(Duration::MAX));
            listed.contains(engine) && !idle.is_empty()
        });
    }
}
