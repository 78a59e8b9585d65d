//! Known hosts, their health, and the connections that an entry host keeps to them.

use {
    crate::{
        handler::Handler,
        metrics,
        shared::{Shared, lock},
    },
    jayspread_core::{
        id::{self, DataCentre, Host},
        member::{Health, Table},
        route,
    },
    jayspread_net::{clock, event, link::Link},
    jayspread_schema::wire::{Member, Role},
    prost::Message,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Interval between reads of the platform's host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between updates of health and slots.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of entry hosts to connect to in each other data centre.
const REMOTE_ENTRY_CONNECTIONS: usize = 2;
/// Number of backend servers to connect to for each service in each other data centre.
const REMOTE_BACKEND_CONNECTIONS: usize = 16;

/// Known hosts and their health.
pub struct Roster {
    /// Hosts that the platform lists, and unlisted ones that still send heartbeats.
    pub members: BTreeMap<Host, Member>,
    /// Health of hosts according to their heartbeats.
    pub health: Table,
    /// Digest of the agents in the roster; 0 until it is first computed.
    pub digest: u64,
}

impl Roster {
    /// Creates an empty roster; hosts are expected to send heartbeats at this interval.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            members: BTreeMap::new(),
            health: Table::new(heartbeat_interval),
            digest: 0,
        }
    }

    /// Applies the platform's host list. A host that is no longer listed stays as long as it
    /// sends heartbeats.
    pub fn apply_list(&mut self, members: Vec<Member>, now: Instant) {
        let listed: BTreeSet<Host> = members.iter().map(|m| m.host.as_str().into()).collect();
        for member in members {
            let host: Host = member.host.as_str().into();
            self.health.set_listed(&host, true, now);
            self.members.insert(host, member);
        }
        let health = &mut self.health;
        self.members.retain(|host, _| {
            let unlisted = !listed.contains(host);
            if unlisted {
                health.set_listed(host, false, now);
            }
            !unlisted || matches!(health.health(host), Health::Alive | Health::Suspect)
        });
        self.update_digest();
    }

    /// Returns the agents that are not dead, which take part in the distribution of weights.
    pub fn live_agents(&self) -> Vec<Member> {
        let agents = self.members.values().filter(|m| {
            m.role == i32::from(Role::Agent) && self.health.health(&m.host) != Health::Dead
        });
        agents.cloned().collect()
    }

    /// Computes the digest, which is equal for equal rosters and never 0.
    pub fn update_digest(&mut self) {
        let mut hasher = blake3::Hasher::new();
        for member in self.live_agents() {
            hasher.update(&member.encode_length_delimited_to_vec());
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        self.digest = u64::from_le_bytes(digest).max(1);
    }

    /// Returns the hosts that entry host `local_host` connects to, with their addresses. Of
    /// the entry hosts, it connects only to those whose names sort after its own, so that two hosts
    /// do not connect to each other.
    fn desired_connections(
        &self,
        local_host: &str,
        data_centre: &str,
    ) -> BTreeMap<Host, SocketAddr> {
        let mut desired = BTreeSet::new();
        let entries = self.by_data_centre(|m| m.role == i32::from(Role::Entry));
        for (other, hosts) in &entries {
            let local = **other == *data_centre;
            let chosen = if local {
                hosts.clone()
            } else {
                highest_scored(local_host, hosts, REMOTE_ENTRY_CONNECTIONS)
            };
            desired.extend(chosen.into_iter().filter(|host| **host > *local_host));
        }
        let mut local_entries = entries.get(data_centre).cloned().unwrap_or_default();
        local_entries.insert(local_host.into());
        for service in self.services() {
            let serves = |m: &Member| m.role == i32::from(Role::Agent) && *m.service == *service;
            for (other, hosts) in self.by_data_centre(serves) {
                let local = *other == *data_centre;
                desired.extend(if local {
                    route::subset(local_host, &local_entries, &hosts, route::SUBSET_SIZE)
                } else {
                    highest_scored(local_host, &hosts, REMOTE_BACKEND_CONNECTIONS)
                });
            }
        }
        let address = |host: Host| {
            let address = self.members.get(&host)?.address.parse().ok()?;
            Some((host, address))
        };
        desired.into_iter().filter_map(address).collect()
    }

    fn services(&self) -> BTreeSet<Box<str>> {
        self.members
            .values()
            .map(|m| m.service.as_str().into())
            .collect()
    }

    fn by_data_centre(
        &self,
        predicate: impl Fn(&Member) -> bool,
    ) -> BTreeMap<DataCentre, BTreeSet<Host>> {
        let mut by_data_centre: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
        for member in self.members.values().filter(|m| predicate(m)) {
            let hosts = by_data_centre
                .entry(member.data_centre.as_str().into())
                .or_default();
            hosts.insert(member.host.as_str().into());
        }
        by_data_centre
    }
}

/// Returns the `count` hosts with the highest rendezvous hash scores for `local_host`.
fn highest_scored(local_host: &str, hosts: &BTreeSet<Host>, count: usize) -> BTreeSet<Host> {
    let mut scored: Vec<_> = hosts
        .iter()
        .map(|h| (id::score(local_host.as_bytes(), h), h))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored
        .into_iter()
        .take(count)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Reads the host list, updates health and maintains the connections until aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut listed_at: Option<Instant> = None;
    let mut interval = time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = shared.roster_wake.notified() => {}
        }
        let now = clock::now();
        update_health(&shared, now);
        shared.slots.tick(&shared.state(), now);
        if listed_at.is_none_or(|at| now >= at + LIST_INTERVAL) {
            listed_at = Some(now);
            tokio::spawn(read_list(Arc::clone(&shared)));
        }
    }
}

fn update_health(shared: &Shared, now: Instant) {
    let worsened = lock(&shared.roster).health.tick(now);
    for (host, health) in worsened {
        event!(
            Warn,
            "host_silent",
            host = host,
            health = format!("{health:?}")
        );
        shared.slots.set_alive(&host, false);
        if health == Health::Dead {
            shared.slots.remove(&host);
            lock(&shared.roster).update_digest();
        }
    }
}

async fn read_list(shared: Arc<Shared>) {
    match shared.hosts.list().await {
        Ok(list) => {
            for _ in 0..list.malformed {
                metrics::count(&shared.metrics.malformed, "host_list");
            }
            apply_host_list(&shared, list.members);
        }
        Err(cause) => event!(Debug, "host_list_failed", reason = cause),
    }
}

fn apply_host_list(shared: &Arc<Shared>, members: Vec<Member>) {
    let local_host = &shared.settings.place.host;
    let leaving: Vec<(String, bool)> = members
        .iter()
        .map(|m| (m.host.clone(), m.leaving))
        .collect();
    let desired = {
        let mut roster = lock(&shared.roster);
        roster.apply_list(members, clock::now());
        roster.desired_connections(local_host, &shared.settings.place.data_centre)
    };
    for (host, leaving) in leaving {
        shared.slots.set_listed_leaving(&host, leaving);
    }
    reconcile_links(shared, desired);
}

/// Opens and closes connections so that they match `desired`.
fn reconcile_links(shared: &Arc<Shared>, desired: BTreeMap<Host, SocketAddr>) {
    let mut links = lock(&shared.links);
    let is_desired = |host: &Host| desired.contains_key(host);
    let obsolete: Vec<Host> = links
        .keys()
        .filter(|host| !is_desired(host))
        .cloned()
        .collect();
    for host in obsolete {
        links.remove(&host);
        shared.slots.remove(&host);
    }
    for (host, address) in desired {
        if links
            .get(&host)
            .is_some_and(|link| link.address() == address)
        {
            continue;
        }
        let handler = Arc::new(Handler::new(shared));
        let link = Link::open(shared.node.clone(), address, host.clone(), handler);
        links.insert(host, Arc::new(link));
    }
}
