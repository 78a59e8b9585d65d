//! Selects the entry hosts that an engine's agent reports to and that place requests there.
//!
//! With all entry hosts, reports would grow with the square of the fleet, and each host would get a
//! slot of the engine once in many reports. Each engine therefore serves a window of the entry hosts
//! of its region in the order of their names; the windows of all engines overlap evenly, so that
//! the hosts have nearly equal capacity. A few hosts of each other region get what these leave. The
//! agent alone decides, and tells each host its place; views that differ cost capacity only.

use {
    crate::id::{Host, Region},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of entry hosts of its own region that an engine serves.
pub const REGIONAL_SIZE: usize = 6;
/// Number of entry hosts of each other region that get what these leave.
pub const REMOTE_SIZE: usize = 3;

/// Entry hosts that an engine serves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// Hosts that share the engine's slots.
    pub primary: Vec<Host>,
    /// Hosts that share what the primary ones leave.
    pub secondary: Vec<Host>,
}

/// What an agent knows of the fleet.
#[derive(Debug, Clone)]
pub struct View<'a> {
    /// Region of the engine.
    pub region: &'a str,
    /// Position of the engine among those of its service in its region, by host name.
    pub engine: usize,
    /// Number of these engines, at least 1.
    pub engines: usize,
    /// Entry hosts by region, ordered by name.
    pub entry_hosts: &'a BTreeMap<Region, Vec<Host>>,
    /// Regions without an engine of the service that accepts requests. Their entry hosts depend on
    /// other regions and share their slots like those of the region itself.
    pub stranded: &'a BTreeSet<Region>,
    /// Number of regions whose engines serve the stranded ones, at least 1.
    pub serving_regions: usize,
}

impl Audience {
    /// Selects the entry hosts of an engine.
    pub fn select(view: &View<'_>) -> Self {
        let mut audience = Self::default();
        for (region, hosts) in view.entry_hosts {
            let stranded_size = REGIONAL_SIZE.div_ceil(view.serving_regions.max(1));
            if **region == *view.region {
                audience.primary.extend(window(view, hosts, REGIONAL_SIZE));
            } else if view.stranded.contains(region) {
                let size = stranded_size.max(REMOTE_SIZE);
                audience.primary.extend(window(view, hosts, size));
            } else {
                audience.secondary.extend(window(view, hosts, REMOTE_SIZE));
            }
        }
        if audience.primary.is_empty() {
            std::mem::swap(&mut audience.primary, &mut audience.secondary);
        }
        audience
    }
}

/// Consecutive hosts, starting where an even spread of all engines over the hosts puts this one.
fn window<'a>(
    view: &View<'_>,
    hosts: &'a [Host],
    size: usize,
) -> impl Iterator<Item = Host> + use<'a> {
    let start = view.engine * hosts.len() / view.engines.max(1);
    let count = size.min(hosts.len());
    (0..count).map(move |offset| hosts[(start + offset) % hosts.len()].clone())
}

/// Number of requests per second that the entry host at `index` of `hosts` may send to a cold engine
/// that tolerates `rate` from all of them: whole requests, whose sum over all hosts is at most `rate`.
/// `subject` decides which hosts get the remainder, so that it differs between engines.
pub fn share(rate: f64, index: usize, hosts: usize, subject: u64) -> u32 {
    let hosts = hosts.max(1) as u64;
    let whole = rate.max(0.0) as u64;
    let rank = (index as u64 % hosts + subject % hosts) % hosts;
    let share = u32::try_from(whole / hosts).unwrap_or(u32::MAX);
    share.saturating_add(u32::from(rank < whole % hosts))
}
