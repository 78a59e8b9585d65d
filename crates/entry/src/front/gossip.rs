//! Datagrams: heartbeats to all processes, reports of agents, lists of members.

use {
    crate::{
        front::site::{Ends, Peer, Site},
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

/// Receives until the task is aborted.
pub async fn receive(site: Arc<Site>) {
    let nonsense = &site.metrics.nonsense;
    site.socket
        .listen(nonsense, |packet| hear(&site, packet))
        .await;
}

fn hear(site: &Arc<Site>, packet: Packet) {
    if *packet.host == *site.settings.host {
        return;
    }
    let now = clock::now();
    let fresh = lock(&site.roster).record_heartbeat(&packet, now);
    let from = Ipv4Addr::from_bits(packet.address);
    if fresh {
        // A process that has just started waits for the versions that a beat carries.
        members::send(&site.socket, &site.socket.encode(beat(site)), from);
    }
    match packet.body {
        Some(Body::Hello(_)) => {
            let list = lock(&site.roster).list(site.socket.identity.member());
            members::send(&site.socket, &site.socket.encode(Body::Members(list)), from);
            members::send(&site.socket, &site.socket.encode(beat(site)), from);
        }
        Some(Body::Members(list)) => lock(&site.roster).add_listed(&list, now),
        Some(Body::Entry(entry)) => peer(site, &entry, &packet.host, from),
        Some(Body::Engine(engine)) => report(site, &engine, &packet.data_centre),
        None => {}
    }
}

/// Compares what a peer has seen of the store with what this host has.
fn peer(site: &Arc<Site>, entry: &Entry, host: &str, from: Ipv4Addr) {
    for target in &entry.targets {
        let age = Duration::from_millis(target.age_ms);
        let since = clock::now().checked_sub(age).unwrap_or_else(clock::now);
        lock(&site.targets).record(&target.model, target.version, since);
    }
    let seen = Ends {
        operator: entry.operator_end,
        engines: entry.engines_end,
    };
    let heard = Peer {
        address: from,
        ends: seen,
        store_lost: entry.store_lost,
    };
    lock(&site.heard).insert(host.into(), heard);
    site.ahead.send_if_modified(|ahead| {
        let most = Ends {
            operator: ahead.operator.max(seen.operator),
            engines: ahead.engines.max(seen.engines),
        };
        std::mem::replace(ahead, most) != most
    });
    if site.lacks(seen) {
        site.ask_peer(from, seen);
    }
}

/// This host's turn at an engine in that data centre. Hosts of its region go first, and with them
/// those whose own region has no engine of the service.
fn turn(site: &Site, data_centre: &str, homes: &BTreeSet<&str>, round: u64) -> Rotation {
    let settings = &site.settings;
    let there = settings.region(data_centre);
    let belongs = |from: &str| {
        let from = settings.region(from);
        from == there || !homes.contains(from)
    };
    let near = belongs(&settings.data_centre);
    let roster = lock(&site.roster);
    let group = |from: &str| belongs(from) == near;
    let (index, of) = roster.position(&settings.host, Role::Entry, group);
    let served = roster
        .usable_members(Role::Entry)
        .any(|(_, contact)| belongs(&contact.data_centre));
    if near || !served {
        Rotation::new(index, of, round)
    } else {
        Rotation::remote(index, of, round)
    }
}

/// Requests that the engine at an address can begin at once, and regions where others of its service
/// may get work.
fn service<'a>(
    catalog: Option<&Catalog>,
    table: &'a Table,
    address: SocketAddr,
) -> (u32, BTreeSet<&'a str>) {
    let (Some(catalog), Some(name)) = (catalog, table.service_at(address)) else {
        return (1, BTreeSet::new());
    };
    let speed = catalog.services.get(name).and_then(|b| b.speed.as_ref());
    (
        speed.map_or(1, engine::prefill_batch),
        table.serving_regions(name),
    )
}

fn report(site: &Site, engine: &Engine, data_centre: &str) {
    let address = SocketAddr::new(
        IpAddr::V4(Ipv4Addr::from_bits(engine.address)),
        engine.port as u16,
    );
    let now = clock::now();
    let closes = Duration::from_millis(engine.closes_in_ms);
    let catalog = site.catalog();
    let mut table = lock(&site.table);
    let (intake, homes) = service(catalog.as_deref(), &table, address);
    let turn = turn(site, data_centre, &homes, engine.round);
    let report = Report {
        rotation: turn,
        responsive: engine.answers,
        load: Load {
            running: engine.running,
            waiting: engine.waiting,
            slowdown: f64::from(engine.pace) / 100.0,
        },
        version: (engine.version > 0).then_some(engine.version),
        closed: engine.closed,
        closes_at: (!closes.is_zero()).then(|| now + closes),
        max_new: intake,
    };
    table.apply_report(address, engine.born_ms, report, now);
}

/// What this host says about itself.
fn beat(site: &Site) -> Body {
    let catalog = site.catalog();
    let origin = catalog.as_ref().and_then(|c| c.origin());
    let now = clock::now();
    let ends = site.ends();
    let mut targets = Vec::new();
    if let Some(catalog) = &catalog {
        for backend in catalog.services.values() {
            let Some(speed) = &backend.speed else {
                continue;
            };
            let named = lock(&site.targets).newest(&speed.model);
            let age = named.map_or(Duration::ZERO, |n| now.saturating_duration_since(n.set_at));
            let (address, port) = match origin.map(|o| o.address) {
                Some(SocketAddr::V4(address)) => (address.ip().to_bits(), address.port()),
                _ => (0, 0),
            };
            targets.push(Target {
                service: backend.name.to_string(),
                model: speed.model.to_string(),
                // Engines hold version 1 before any is named.
                version: named.map_or(1, |n| n.version),
                age_ms: age.as_millis() as u64,
                origin_address: address,
                origin_port: port.into(),
                origin_data_centre: origin.map_or(String::new(), |o| o.data_centre.to_string()),
            });
        }
    }
    Body::Entry(Entry {
        revision: catalog.map_or(0, |c| c.revision),
        operator_end: ends.operator,
        engines_end: ends.engines,
        targets,
        store_lost: site.topics_lost.load(Ordering::Relaxed) > 0,
    })
}

/// Sends heartbeats and ages tables until the task is aborted. Agents of other regions get every
/// second one, and all news: they only need to know whom to report to.
pub async fn beats(site: Arc<Site>) {
    let mut far = true;
    loop {
        tick(&site, far);
        let alone = lock(&site.roster).is_alone();
        let next = Instant::now()
            + if alone {
                DISCOVERY_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
        tokio::select! {
            () = time::sleep_until(next) => far = !far,
            () = site.news.notified() => far = true,
        }
    }
}

fn tick(site: &Site, far: bool) {
    let now = clock::now();
    let me = site.socket.identity.address;
    let mut roster = lock(&site.roster);
    roster.tick(now);
    members::query_members(&site.socket, &mut roster);
    lock(&site.heard).retain(|host, _| roster.usable(host));
    let mut to = roster.addresses(Role::Entry, me);
    to.extend(roster.addresses_in(Role::Agent, me, |data_centre| {
        far || site.settings.region(data_centre) == &*site.region
    }));
    drop(roster);
    let packet = site.socket.encode(beat(site));
    for address in to {
        members::send(&site.socket, &packet, address);
    }
    let mut table = lock(&site.table);
    for engine in table.remove_expired(now) {
        event!(Info, "engine_lapsed", engine = engine);
    }
    let listed = listed(&table);
    drop(table);
    lock(&site.pool).tidy(&listed);
}

fn listed(table: &Table) -> BTreeSet<Box<str>> {
    table
        .iter()
        .map(|engine| engine.listing.id.clone())
        .collect()
}
