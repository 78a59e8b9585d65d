//! Datagrams between processes: heartbeats, load reports of agents, and member lists.

use {
    crate::{
        front::state::{Offsets, Peer, State},
        shared::lock,
    },
    jayspread_core::{
        catalog::Catalog,
        engine::{self, Load, Report, Rotation},
        placement::Table,
    },
    jayspread_net::{
        clock, event,
        members::{self, DISCOVERY_INTERVAL, HEARTBEAT_INTERVAL},
    },
    jayspread_schema::peer::{Engine, Entry, Packet, Role, Target, packet::Body},
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{self, Instant},
};

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
    let is_new = lock(&state.roster).record_heartbeat(&packet, now);
    let from = Ipv4Addr::from_bits(packet.address);
    if is_new {
        // A process that has just started needs the model versions that a heartbeat carries.
        members::send(&state.socket, &state.socket.encode(heartbeat(state)), from);
    }
    match packet.body {
        Some(Body::Hello(_)) => {
            let members = lock(&state.roster).list(state.socket.identity.member());
            members::send(
                &state.socket,
                &state.socket.encode(Body::Members(members)),
                from,
            );
            members::send(&state.socket, &state.socket.encode(heartbeat(state)), from);
        }
        Some(Body::Members(members)) => lock(&state.roster).add_listed(&members, now),
        Some(Body::Entry(entry)) => handle_heartbeat(state, &entry, &packet.host, from),
        Some(Body::Engine(engine)) => handle_report(state, &engine, &packet.data_centre),
        None => {}
    }
}

/// Handles a heartbeat of another entry host: learns model versions from it, and fetches store
/// records from it if this host is behind.
fn handle_heartbeat(state: &Arc<State>, entry: &Entry, host: &str, from: Ipv4Addr) {
    for target in &entry.targets {
        let age = Duration::from_millis(target.age_ms);
        let set_at = clock::now().checked_sub(age).unwrap_or_else(clock::now);
        lock(&state.targets).record(&target.model, target.version, set_at);
    }
    let offsets = Offsets {
        operator: entry.operator_end,
        engines: entry.engines_end,
    };
    let peer = Peer {
        address: from,
        offsets,
        store_unreachable: entry.store_lost,
    };
    lock(&state.peers).insert(host.into(), peer);
    state.peer_offsets.send_if_modified(|largest| {
        let updated = Offsets {
            operator: largest.operator.max(offsets.operator),
            engines: largest.engines.max(offsets.engines),
        };
        std::mem::replace(largest, updated) != updated
    });
    if state.is_behind(offsets) {
        state.start_catch_up(from, offsets);
    }
}

/// Returns this host's position in the rotation of hosts that share the free slots of an engine in
/// `data_centre`. Hosts of the engine's region come first, together with hosts whose own region has
/// no engine of the service; `engine_regions` are the regions that have one.
fn rotation(
    state: &State,
    data_centre: &str,
    engine_regions: &BTreeSet<&str>,
    round: u64,
) -> Rotation {
    let settings = &state.settings;
    let engine_region = settings.region(data_centre);
    let has_priority = |data_centre: &str| {
        let region = settings.region(data_centre);
        region == engine_region || !engine_regions.contains(region)
    };
    let own_priority = has_priority(&settings.data_centre);
    let roster = lock(&state.roster);
    let same_group = |data_centre: &str| has_priority(data_centre) == own_priority;
    let (index, count) = roster.position(&settings.host, Role::Entry, same_group);
    let priority_hosts_exist = roster
        .usable_members(Role::Entry)
        .any(|(_, contact)| has_priority(&contact.data_centre));
    if own_priority || !priority_hosts_exist {
        Rotation::new(index, count, round)
    } else {
        Rotation::remote(index, count, round)
    }
}

/// Returns how many requests the engine at an address can start at once, and the regions that have
/// engines of its service which accept work.
fn capacity_and_regions<'a>(
    catalog: Option<&Catalog>,
    table: &'a Table,
    address: SocketAddr,
) -> (u32, BTreeSet<&'a str>) {
    let (Some(catalog), Some(name)) = (catalog, table.service_at(address)) else {
        return (1, BTreeSet::new());
    };
    let speed = catalog
        .services
        .get(name)
        .and_then(|backend| backend.speed.as_ref());
    (
        speed.map_or(1, engine::prefill_batch),
        table.serving_regions(name),
    )
}

/// Applies an agent's report on the load of its engine.
fn handle_report(state: &State, engine: &Engine, data_centre: &str) {
    let address = SocketAddr::new(
        IpAddr::V4(Ipv4Addr::from_bits(engine.address)),
        engine.port as u16,
    );
    let now = clock::now();
    let closes_in = Duration::from_millis(engine.closes_in_ms);
    let catalog = state.catalog();
    let mut table = lock(&state.engines);
    let (max_new, engine_regions) = capacity_and_regions(catalog.as_deref(), &table, address);
    let rotation = rotation(state, data_centre, &engine_regions, engine.round);
    let report = Report {
        rotation,
        responsive: engine.answers,
        load: Load {
            running: engine.running,
            waiting: engine.waiting,
            slowdown: f64::from(engine.pace) / 100.0,
        },
        version: (engine.version > 0).then_some(engine.version),
        closed: engine.closed,
        closes_at: (!closes_in.is_zero()).then(|| now + closes_in),
        max_new,
    };
    table.apply_report(address, engine.born_ms, report, now);
}

/// Builds this host's heartbeat.
fn heartbeat(state: &State) -> Body {
    let catalog = state.catalog();
    let origin = catalog.as_ref().and_then(|catalog| catalog.origin());
    let now = clock::now();
    let offsets = state.offsets();
    let mut targets = Vec::new();
    if let Some(catalog) = &catalog {
        for backend in catalog.services.values() {
            let Some(speed) = &backend.speed else {
                continue;
            };
            let target = lock(&state.targets).newest(&speed.model);
            let age = target.map_or(Duration::ZERO, |target| {
                now.saturating_duration_since(target.set_at)
            });
            let (address, port) = match origin.map(|origin| origin.address) {
                Some(SocketAddr::V4(address)) => (address.ip().to_bits(), address.port()),
                _ => (0, 0),
            };
            targets.push(Target {
                service: backend.name.to_string(),
                model: speed.model.to_string(),
                // Engines serve version 1 until the operator requests another.
                version: target.map_or(1, |target| target.version),
                age_ms: age.as_millis() as u64,
                origin_address: address,
                origin_port: port.into(),
                origin_data_centre: origin
                    .map_or(String::new(), |origin| origin.data_centre.to_string()),
            });
        }
    }
    Body::Entry(Entry {
        revision: catalog.map_or(0, |catalog| catalog.revision),
        operator_end: offsets.operator,
        engines_end: offsets.engines,
        targets,
        store_lost: state.failing_topics.load(Ordering::Relaxed) > 0,
    })
}

/// Sends heartbeats and expires stale entries until the task is aborted. Agents of other regions
/// only need the addresses for their reports: they get every second periodic heartbeat and those
/// triggered by a change.
pub async fn send_heartbeats(state: Arc<State>) {
    let mut all_regions = true;
    loop {
        tick(&state, all_regions);
        let is_alone = lock(&state.roster).is_alone();
        let next = Instant::now()
            + if is_alone {
                DISCOVERY_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
        tokio::select! {
            () = time::sleep_until(next) => all_regions = !all_regions,
            () = state.heartbeat_due.notified() => all_regions = true,
        }
    }
}

fn tick(state: &State, all_regions: bool) {
    let now = clock::now();
    let own_address = state.socket.identity.address;
    let mut roster = lock(&state.roster);
    roster.tick(now);
    members::query_members(&state.socket, &mut roster);
    lock(&state.peers).retain(|host, _| roster.usable(host));
    let mut recipients = roster.addresses(Role::Entry, own_address);
    recipients.extend(
        roster.addresses_in(Role::Agent, own_address, |data_centre| {
            all_regions || state.settings.region(data_centre) == &*state.region
        }),
    );
    drop(roster);
    let packet = state.socket.encode(heartbeat(state));
    for address in recipients {
        members::send(&state.socket, &packet, address);
    }
    let mut table = lock(&state.engines);
    for engine in table.remove_expired(now) {
        event!(Info, "engine_expired", engine = engine);
    }
    let listed = listed_ids(&table);
    drop(table);
    lock(&state.pool).prune(&listed);
}

fn listed_ids(table: &Table) -> BTreeSet<Box<str>> {
    table
        .iter()
        .map(|engine| engine.listing.id.clone())
        .collect()
}
