//! Hosts that this entry host knows of, and the connections it keeps to them.

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

/// Interval of reading the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of judging health and slots.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Entry hosts of each other data centre that are connected to.
const REMOTE_ENTRY_CONNECTIONS: usize = 2;
/// Backend servers of each service and other data centre that are connected to.
const REMOTE_BACKEND_CONNECTIONS: usize = 16;

/// Hosts and their health.
pub struct Roster {
    /// Hosts as the platform lists them or as they introduced themselves.
    pub members: BTreeMap<Host, Member>,
    /// Health by direct heartbeats.
    pub health: Table,
    /// Number that tells this roster from others.
    pub digest: u64,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            members: BTreeMap::new(),
            health: Table::new(heartbeat),
            digest: 0,
        }
    }

    /// Takes in the platform's list. A host that answers stays although it is not listed.
    pub fn apply_list(&mut self, members: Vec<Member>, now: Instant) {
        let listed: BTreeSet<Host> = members.iter().map(|m| m.host.as_str().into()).collect();
        for member in members {
            let host: Host = member.host.as_str().into();
            self.health.set_listed(&host, true, now);
            self.members.insert(host, member);
        }
        let health = &mut self.health;
        self.members.retain(|host, _| {
            let gone = !listed.contains(host);
            if gone {
                health.set_listed(host, false, now);
            }
            !gone || matches!(health.health(host), Health::Alive | Health::Suspect)
        });
        self.update_digest();
    }

    /// Agents that take part in distributing weights.
    pub fn live_agents(&self) -> Vec<Member> {
        let agents = self.members.values().filter(|m| {
            m.role == i32::from(Role::Agent) && self.health.health(&m.host) != Health::Dead
        });
        agents.cloned().collect()
    }

    /// Gives equal rosters equal numbers, never 0.
    pub fn update_digest(&mut self) {
        let mut hasher = blake3::Hasher::new();
        for member in self.live_agents() {
            hasher.update(&member.encode_length_delimited_to_vec());
        }
        let mut number = [0; 8];
        number.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        self.digest = u64::from_le_bytes(number).max(1);
    }

    /// Hosts that `me` connects to, with their addresses.
    fn desired_connections(&self, me: &str, data_centre: &str) -> BTreeMap<Host, SocketAddr> {
        let mut wanted = BTreeSet::new();
        let entries = self.by_data_centre(|m| m.role == i32::from(Role::Entry));
        for (place, hosts) in &entries {
            let near = **place == *data_centre;
            let chosen = if near {
                hosts.clone()
            } else {
                highest_scored(me, hosts, REMOTE_ENTRY_CONNECTIONS)
            };
            wanted.extend(chosen.into_iter().filter(|host| **host > *me));
        }
        let mut own = entries.get(data_centre).cloned().unwrap_or_default();
        own.insert(me.into());
        for service in self.services() {
            let mine = |m: &Member| m.role == i32::from(Role::Agent) && *m.service == *service;
            for (place, hosts) in self.by_data_centre(mine) {
                let near = *place == *data_centre;
                wanted.extend(if near {
                    route::subset(me, &own, &hosts, route::SUBSET_SIZE)
                } else {
                    highest_scored(me, &hosts, REMOTE_BACKEND_CONNECTIONS)
                });
            }
        }
        let address = |host: Host| {
            let address = self.members.get(&host)?.address.parse().ok()?;
            Some((host, address))
        };
        wanted.into_iter().filter_map(address).collect()
    }

    fn services(&self) -> BTreeSet<Box<str>> {
        self.members
            .values()
            .map(|m| m.service.as_str().into())
            .collect()
    }

    fn by_data_centre(
        &self,
        fits: impl Fn(&Member) -> bool,
    ) -> BTreeMap<DataCentre, BTreeSet<Host>> {
        let mut found: BTreeMap<DataCentre, BTreeSet<Host>> = BTreeMap::new();
        for member in self.members.values().filter(|m| fits(m)) {
            let hosts = found.entry(member.data_centre.as_str().into()).or_default();
            hosts.insert(member.host.as_str().into());
        }
        found
    }
}

/// The `count` hosts with the highest scores for `me`.
fn highest_scored(me: &str, hosts: &BTreeSet<Host>, count: usize) -> BTreeSet<Host> {
    let mut scored: Vec<_> = hosts
        .iter()
        .map(|h| (id::score(me.as_bytes(), h), h))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored
        .into_iter()
        .take(count)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Reads the platform's list, judges health and keeps the connections; runs until aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut listed: Option<Instant> = None;
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
        if listed.is_none_or(|at| now >= at + LIST_INTERVAL) {
            listed = Some(now);
            tokio::spawn(read_list(Arc::clone(&shared)));
        }
    }
}

fn update_health(shared: &Shared, now: Instant) {
    let worse = lock(&shared.roster).health.tick(now);
    for (host, health) in worse {
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
    let me = &shared.settings.place.host;
    let leaving: Vec<(String, bool)> = members
        .iter()
        .map(|m| (m.host.clone(), m.leaving))
        .collect();
    let wanted = {
        let mut roster = lock(&shared.roster);
        roster.apply_list(members, clock::now());
        roster.desired_connections(me, &shared.settings.place.data_centre)
    };
    for (host, leaving) in leaving {
        shared.slots.set_listed_leaving(&host, leaving);
    }
    reconcile_links(shared, wanted);
}

/// Opens and closes connections so that they match `wanted`.
fn reconcile_links(shared: &Arc<Shared>, wanted: BTreeMap<Host, SocketAddr>) {
    let mut links = lock(&shared.links);
    let kept = |host: &Host| wanted.contains_key(host);
    let dropped: Vec<Host> = links.keys().filter(|host| !kept(host)).cloned().collect();
    for host in dropped {
        links.remove(&host);
        shared.slots.remove(&host);
    }
    for (host, address) in wanted {
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
