//! Datagrams between processes: membership, load reports of agents, heartbeats to these agents, and
//! news of the store's records.

use {
    crate::{
        front::{
            peers::News,
            quarantine, records,
            state::{Agent, Offsets, Peer, State},
        },
        shared::lock,
    },
    jayspread_core::{
        catalog::Catalog,
        engine::{self, leaving},
        id::{Engine as Id, Host},
        mirror::Position,
        placement::Table,
        quarantine::Instance,
        reader,
    },
    jayspread_net::{
        clock, event, members, reports,
        targets::{self, History},
    },
    jayspread_platform::store::Topic,
    jayspread_schema::peer::{
        Engine, Entry, Leaving, LimitEnd, Packet, Role, Target, packet::Body,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Interval between heartbeats to the agents of this region that report to this host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of an agent's last report from which it gets no more heartbeats.
const AGENT_TTL: Duration = Duration::from_millis(2_500);
/// Largest number of leaving engines that one heartbeat names.
const MAX_LEAVING: usize = 32;
/// The same for engines whose limits have ended.
const MAX_LIMIT_ENDS: usize = 32;

/// Receives datagrams until the task is aborted.
pub async fn receive(state: Arc<State>) {
    let malformed = &state.metrics.malformed_packets;
    state
        .socket
        .listen(malformed, |packet| handle_packet(&state, packet))
        .await;
}

fn handle_packet(state: &Arc<State>, packet: Packet) {
    if *packet.host == *state.settings.host {
        return;
    }
    let now = clock::now();
    let is_new = lock(&state.roster).receive(&packet, now);
    flush(state);
    let from = Ipv4Addr::from_bits(packet.address);
    if is_new && packet.role() == Role::Entry {
        quarantine::greet(state, from);
    }
    match &packet.body {
        Some(Body::Parts(parts)) => quarantine::receive(state, parts),
        Some(Body::Entry(entry)) => handle_entry(state, entry, &packet.host, from),
        Some(Body::Ping(probe) | Body::Ack(probe)) => {
            if let Some(entry) = &probe.entry {
                handle_entry(state, entry, &packet.host, from);
            }
        }
        Some(Body::Engine(engine)) => {
            let is_known = note_agent(state, &packet, from);
            if !is_known {
                event!(Info, "agent_reports", host = packet.host);
            }
            if is_new || !is_known {
                // An agent that has just started needs the model versions.
                members::send(
                    &state.socket,
                    &state.socket.encode(Body::Entry(entry(state))),
                    from,
                );
            }
            handle_report(state, engine, packet.incarnation);
        }
        _ => {}
    }
}

/// Sends the datagrams that the roster has queued.
fn flush(state: &State) {
    members::flush(&state.socket, lock(&state.roster), || Some(entry(state)));
}

/// Records that an agent reports to this host; returns whether it did so recently.
fn note_agent(state: &State, packet: &Packet, address: Ipv4Addr) -> bool {
    let agent = Agent {
        address,
        is_regional: state.settings.region(&packet.data_centre) == &*state.region,
        reported_at: clock::now(),
    };
    lock(&state.agents)
        .insert(packet.host.as_str().into(), agent)
        .is_some()
}

/// Handles the state of another entry host: learns model versions and leaving engines from it, and
/// fetches store records from it if this host is behind.
fn handle_entry(state: &Arc<State>, entry: &Entry, host: &str, from: Ipv4Addr) {
    let history = match records::next_position(state, Topic::Operator) {
        Some(_) => History::Followed,
        None => History::Unknown,
    };
    for target in &entry.targets {
        let learned = targets::learn(&mut lock(&state.targets), target, history, clock::now());
        if learned {
            event!(
                Info,
                "version_named",
                model = target.model,
                version = target.version,
                age_ms = target.age_ms,
                assumed = target.age_assumed,
                source = host
            );
        }
    }
    for leaving in &entry.leaving {
        hear_leaving(state, leaving, host);
    }
    for end in &entry.limit_ends {
        hear_limit_end(state, end);
    }
    quarantine::catch_up(state, entry.quarantined, from);
    let position = |era, offset| Position { era, offset };
    let offsets = Offsets {
        operator: position(entry.era, entry.operator_end),
        engines: position(entry.engines_era, entry.engines_end),
    };
    let peer = Peer {
        address: from,
        offsets,
        store_unreachable: entry.store_lost,
    };
    let previous = lock(&state.peers).insert(host.into(), peer);
    if previous.is_some_and(|p| p.store_unreachable != peer.store_unreachable) {
        state.readers_changed.notify_waiters();
    }
    if let Some(age_ms) = entry.store_failed_ms {
        state.hear_store_failure(host, age_ms, entry.store_failures);
    }
    state.peer_offsets.send_if_modified(|largest| {
        let updated = largest.max(offsets);
        std::mem::replace(largest, updated) != updated
    });
    // News of other regions are passed on in this one only after this host has the records.
    let root = (!entry.news_root.is_empty()).then(|| Host::from(entry.news_root.as_str()));
    let root = root.filter(|root| state.is_in_region(root));
    let knows_newer = entry.revision > state.catalog().map_or(0, |catalog| catalog.revision);
    // Each tree is passed on by itself: a host that got the news through one of them must still tell
    // those that depend on it in the other.
    let to_pass_on = root.as_ref().is_some_and(|root| {
        let passed_on = lock(&state.passed_on);
        passed_on
            .get(root)
            .is_none_or(|last| last.is_behind(offsets))
    });
    if state.is_behind(offsets) || knows_newer || to_pass_on {
        state.start_catch_up(News {
            peer: host.into(),
            address: from,
            target: offsets,
            revision: entry.revision,
            root,
        });
    }
}

fn hear_leaving(state: &State, leaving: &Leaving, host: &str) {
    // An age beyond the range of the clock is older than any process that this host knows.
    let Some(said_at) = clock::now().checked_sub(Duration::from_millis(leaving.age_ms)) else {
        return;
    };
    let news = leaving::News {
        engine: leaving.engine.as_str().into(),
        started: leaving.born_ms,
        position: Position {
            era: leaving.era,
            offset: leaving.offset,
        },
        said_at,
    };
    if lock(&state.engines).hear_leaving(&news) {
        event!(
            Info,
            "engine_leaving",
            engine = news.engine,
            age_ms = leaving.age_ms,
            source = host
        );
    }
}

fn hear_limit_end(state: &State, end: &LimitEnd) {
    let now = clock::now();
    // An age beyond the range of the clock is older than any limit that this process knows.
    let Some(ended_at) = now.checked_sub(Duration::from_millis(end.age_ms)) else {
        return;
    };
    lock(&state.engines).hear_limit_end(&end.engine, end.born_ms, ended_at, now);
}

/// Applies an agent's report on the load of its engine.
fn handle_report(state: &State, engine: &Engine, agent_process: u64) {
    let Some(address) = reports::address(engine) else {
        state.metrics.malformed_packets.inc();
        event!(Debug, "report_malformed", port = engine.port);
        return;
    };
    let now = clock::now();
    let catalog = state.catalog();
    let mut table = lock(&state.engines);
    let max_new = prefill_batch(catalog.as_deref(), &table, address);
    let report = reports::decode(engine, agent_process, max_new, now);
    table.apply_report(address, engine.born_ms, report, now);
}

/// Number of requests that the engine at an address can start at once.
fn prefill_batch(catalog: Option<&Catalog>, table: &Table, address: SocketAddr) -> u32 {
    let service = table.service_at(address);
    let backend = catalog
        .zip(service)
        .and_then(|(catalog, name)| catalog.services.get(name));
    let speed = backend.and_then(|backend| backend.speed.as_ref());
    speed.map_or(1, engine::prefill_batch)
}

/// State of this host, as agents and other entry hosts get it.
pub fn entry(state: &State) -> Entry {
    let catalog = state.catalog();
    let offsets = state.offsets();
    let (leaving, limit_ends) = {
        let now = clock::now();
        let table = lock(&state.engines);
        let mut rng = rand::rng();
        let leaving = table.sample_leaving(MAX_LEAVING, &mut rng).into_iter();
        let encode = |news: leaving::News| Leaving {
            engine: news.engine.to_string(),
            born_ms: news.started,
            era: news.position.era,
            offset: news.position.offset,
            age_ms: now.saturating_duration_since(news.said_at).as_millis() as u64,
        };
        let ends = table.sample_ended_limits(MAX_LIMIT_ENDS, &mut rng, now);
        let encode_end = |(id, born_ms, ended_at): (&Id, _, _)| LimitEnd {
            engine: id.to_string(),
            born_ms,
            age_ms: now.saturating_duration_since(ended_at).as_millis() as u64,
        };
        (
            leaving.map(encode).collect(),
            ends.into_iter().map(encode_end).collect(),
        )
    };
    let quarantined = lock(&state.quarantine).digest(clock::now());
    let last_failure = state.last_failure();
    Entry {
        revision: catalog.as_ref().map_or(0, |catalog| catalog.revision),
        operator_end: offsets.operator.offset,
        engines_end: offsets.engines.offset,
        era: offsets.operator.era,
        engines_era: offsets.engines.era,
        targets: catalog.map_or_else(Vec::new, |catalog| encode_targets(state, &catalog)),
        store_lost: state.failing_topics.load(Ordering::Relaxed) > 0,
        news_root: String::new(),
        quarantined,
        leaving,
        limit_ends,
        store_failed_ms: last_failure.map(|(age_ms, _)| age_ms),
        store_failures: last_failure.map_or(0, |(_, number)| number),
    }
}

/// Versions that the engines of each service should serve.
fn encode_targets(state: &State, catalog: &Catalog) -> Vec<Target> {
    let now = clock::now();
    let origin = catalog.origin();
    let (origin_address, origin_port) = match origin.map(|origin| origin.address) {
        Some(SocketAddr::V4(address)) => (address.ip().to_bits(), address.port()),
        _ => (0, 0),
    };
    let stranded = lock(&state.stranded).clone();
    let limit = state.settings.bounds.rollout_limit;
    let mut encoded = Vec::new();
    for backend in catalog.services.values() {
        let Some(speed) = &backend.speed else {
            continue;
        };
        let known = lock(&state.targets);
        let target = known.relevant(&speed.model, limit, now).last();
        let age = target.map_or(Duration::ZERO, |target| {
            now.saturating_duration_since(target.set_at)
        });
        encoded.push(Target {
            service: backend.name.to_string(),
            model: speed.model.to_string(),
            // Engines serve version 1 until the operator requests another.
            version: target.map_or(1, |target| target.version),
            age_ms: age.as_millis() as u64,
            origin_address,
            origin_port: origin_port.into(),
            origin_data_centre: origin
                .map_or(String::new(), |origin| origin.data_centre.to_string()),
            no_regional_engine: stranded.contains(&backend.name),
            superseded: targets::superseded(&known, &speed.model, limit, now),
            counted_ms: target
                .and_then(|target| targets::counted_ms(&known, &speed.model, target, limit, now)),
            age_assumed: target.is_none_or(|target| target.assumed),
        });
    }
    encoded
}

/// Sends probes and heartbeats and expires stale entries until the task is aborted.
pub async fn run(state: Arc<State>) {
    let mut to_all_regions = true;
    let mut next_heartbeat = clock::now();
    loop {
        let now = clock::now();
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_INTERVAL;
            expire(&state);
            // Agents of other regions only grant what their own region leaves, so that they get
            // every second heartbeat and those triggered by a change.
            send_heartbeats(&state, to_all_regions);
            to_all_regions = !to_all_regions;
        }
        let next = probe(&state, now).min(next_heartbeat);
        tokio::select! {
            () = time::sleep_until(next.into()) => {}
            () = state.heartbeat_due.notified() => {
                next_heartbeat = clock::now();
                to_all_regions = true;
            }
        }
    }
}

/// Sends the probes that are due; returns the time of the next ones. A host without a configuration
/// probes more often, since acknowledgements tell it who has one.
fn probe(state: &State, now: Instant) -> Instant {
    let is_empty = state.catalog().is_none();
    let mut roster = lock(&state.roster);
    roster.tick(is_empty, now);
    let next = roster.next_tick(now);
    drop(roster);
    flush(state);
    next
}

/// Sends heartbeats to the agents that report to this host.
fn send_heartbeats(state: &State, to_all_regions: bool) {
    let agents = lock(&state.agents);
    let recipients = agents.values().filter(|a| to_all_regions || a.is_regional);
    let recipients: Vec<Ipv4Addr> = recipients.map(|agent| agent.address).collect();
    drop(agents);
    if recipients.is_empty() {
        return;
    }
    let packet = state.socket.encode(Body::Entry(entry(state)));
    for address in recipients {
        members::send(&state.socket, &packet, address);
    }
}

/// Tells the entry hosts after this one in the tree of its region that it has applied records which
/// `root` read from the store.
pub fn pass_on_news(state: &State, root: &str) {
    let offsets = state.offsets();
    let roster = lock(&state.roster);
    let regional = roster
        .usable_members(Role::Entry)
        .filter(|(_, contact)| contact.region == state.region);
    let mut hosts: Vec<Host> = regional.map(|(host, _)| host.clone()).collect();
    let own = state.settings.host.clone();
    if let Err(index) = hosts.binary_search(&own) {
        hosts.insert(index, own.clone());
    }
    let mut passed_on = lock(&state.passed_on);
    passed_on.retain(|root, _| hosts.contains(root));
    passed_on.insert(root.into(), offsets);
    drop(passed_on);
    let children = reader::children(&hosts, root, &own);
    let addresses = children.into_iter().filter_map(|host| roster.contact(host));
    let addresses: Vec<Ipv4Addr> = addresses.map(|contact| contact.address).collect();
    drop(roster);
    send_entry(state, root, &addresses);
}

/// Tells the hosts of each other region that read the store that this one has read records from it:
/// the store may be silent to all of them.
pub fn tell_other_regions(state: &State) {
    let roster = lock(&state.roster);
    let peers = lock(&state.peers);
    let mut regions: BTreeMap<&str, Vec<(reader::Peer<'_>, Ipv4Addr)>> = BTreeMap::new();
    for (host, contact) in roster.usable_members(Role::Entry) {
        if contact.region == state.region {
            continue;
        }
        let peer = reader::Peer {
            host,
            store_unreachable: peers.get(host).is_some_and(|peer| peer.store_unreachable),
        };
        let hosts = regions.entry(&contact.region).or_default();
        hosts.push((peer, contact.address));
    }
    let mut addresses = Vec::new();
    for hosts in regions.values() {
        let names = reader::contacts(hosts.iter().map(|(peer, _)| *peer));
        let chosen = hosts.iter().filter(|(peer, _)| names.contains(&peer.host));
        addresses.extend(chosen.map(|(_, address)| *address));
    }
    drop(peers);
    drop(roster);
    send_entry(state, &state.settings.host, &addresses);
}

/// Tells all entry hosts of the region whether this one reaches the store, on which the choice of
/// the readers depends.
pub fn tell_region(state: &State) {
    let roster = lock(&state.roster);
    let regional = roster
        .usable_members(Role::Entry)
        .filter(|(_, contact)| contact.region == state.region);
    let addresses: Vec<Ipv4Addr> = regional.map(|(_, contact)| contact.address).collect();
    drop(roster);
    send_entry(state, "", &addresses);
}

fn send_entry(state: &State, news_root: &str, addresses: &[Ipv4Addr]) {
    if addresses.is_empty() {
        return;
    }
    let packet = state.socket.encode(Body::Entry(Entry {
        news_root: news_root.into(),
        ..entry(state)
    }));
    for address in addresses {
        members::send(&state.socket, &packet, *address);
    }
}

/// Removes what is out of date, and updates what depends on the members.
fn expire(state: &State) {
    let now = clock::now();
    lock(&state.agents)
        .retain(|_, agent| now.saturating_duration_since(agent.reported_at) < AGENT_TTL);
    let roster = lock(&state.roster);
    lock(&state.peers).retain(|host, _| roster.usable(host));
    let managers = roster.usable_members(Role::Agent);
    let managers: BTreeSet<IpAddr> = managers
        .map(|(_, contact)| IpAddr::V4(contact.address))
        .collect();
    drop(roster);
    state.expire_held(now);
    let stranded = state.stranded_services();
    let mut table = lock(&state.engines);
    for engine in table.remove_expired(now) {
        event!(Info, "engine_expired", engine = engine);
    }
    for engine in table.list_doubted(now) {
        event!(Info, "engine_listed_by_copy", engine = engine, used = true);
    }
    table.set_managed(|address| managers.contains(&address));
    let listed: BTreeSet<Instance> = table.instances().collect();
    drop(table);
    *lock(&state.stranded) = stranded;
    state.note_engines_out(now);
    lock(&state.pool).prune(&listed);
}

impl State {
    /// Services with a model that have engines, but none in this region that accepts requests.
    fn stranded_services(&self) -> BTreeSet<Box<str>> {
        let Some(catalog) = self.catalog() else {
            return BTreeSet::new();
        };
        let table = lock(&self.engines);
        let models = catalog.services.values().filter(|b| b.speed.is_some());
        let is_stranded = |name: &str| {
            let regions = table.serving_regions(name);
            !regions.is_empty() && !regions.contains(&*self.region)
        };
        let stranded = models.filter(|backend| is_stranded(&backend.name));
        stranded.map(|backend| backend.name.clone()).collect()
    }

    /// Whether an entry host is in the region of this one.
    fn is_in_region(&self, host: &str) -> bool {
        let roster = lock(&self.roster);
        let contact = roster.contact(host);
        contact.is_some_and(|contact| contact.region == self.region)
    }

    /// Next position of a topic, as peers and the store's reads use it.
    pub fn position(&self, topic: Topic) -> Position {
        self.offsets().get(topic)
    }
}
