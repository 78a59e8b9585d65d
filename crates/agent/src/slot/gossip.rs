//! Datagrams: versions from entry hosts, the engine's load to them, lists of members.

use {
    crate::{
        shared::lock,
        slot::tables::{Other, Slot, Source},
    },
    jayspread_core::spread,
    jayspread_net::{
        clock, event,
        members::{self, HEARTBEAT_INTERVAL},
    },
    jayspread_schema::peer::{Engine, Entry, Packet, Role, Spread, Target, packet::Body},
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Shortest time between two reports on a load that changes.
const REPORT: Duration = Duration::from_millis(60);
/// The same to entry hosts of other regions, which send here only what their own cannot take.
const REPORT_FAR: Duration = Duration::from_millis(170);
/// Receives until the task is aborted.
pub async fn receive(slot: Arc<Slot>) {
    let nonsense = &slot.metrics.nonsense;
    slot.socket
        .listen(nonsense, |packet| hear(&slot, packet))
        .await;
}

fn hear(slot: &Slot, packet: Packet) {
    if *packet.host == *slot.settings.host {
        return;
    }
    let now = clock::now();
    lock(&slot.roster).record_heartbeat(&packet, now);
    let from = Ipv4Addr::from_bits(packet.address);
    match packet.body {
        Some(Body::Hello(_)) => {
            let list = lock(&slot.roster).list(slot.socket.identity.member());
            let packet = slot.socket.encode(Body::Members(list));
            members::send(&slot.socket, &packet, from);
        }
        Some(Body::Members(list)) => lock(&slot.roster).add_listed(&list, now),
        Some(Body::Entry(entry)) => follow(slot, &entry),
        Some(Body::Engine(engine)) => {
            let other = Other {
                version: engine.version,
                spreads: engine
                    .spreads
                    .iter()
                    .map(|spread| (spread.version, indices(&spread.pieces)))
                    .collect(),
                at: now,
            };
            lock(&slot.fleet).insert(packet.host.into(), other);
            slot.holders_changed.notify_one();
        }
        None => {}
    }
}

/// Takes the versions that an entry host names for this engine's service.
fn follow(slot: &Slot, entry: &Entry) {
    let own = slot.settings.service.as_deref();
    let fitting = |target: &&Target| own.is_none_or(|own| *own == *target.service);
    let Some(target) = entry.targets.iter().find(fitting) else {
        return;
    };
    let origin = u16::try_from(target.origin_port).ok();
    let origin = origin.filter(|port| *port != 0).map(|port| {
        let ip = Ipv4Addr::from_bits(target.origin_address);
        SocketAddr::new(IpAddr::V4(ip), port)
    });
    let source = Source {
        model: target.model.as_str().into(),
        origin,
        data_centre: target.origin_data_centre.as_str().into(),
    };
    let mut known = lock(&slot.source);
    if known.as_ref() != Some(&source) {
        event!(
            Info,
            "weights_source",
            model = source.model,
            origin = format!("{origin:?}")
        );
        *known = Some(source);
    }
    drop(known);
    let age = Duration::from_millis(target.age_ms);
    let now = clock::now();
    let since = now.checked_sub(age).unwrap_or(now);
    if lock(&slot.targets).record(&target.model, target.version, since) {
        event!(
            Info,
            "version_named",
            version = target.version,
            age_ms = target.age_ms
        );
        slot.named.send_modify(|n| *n += 1);
    }
}

/// Indices of the bits that are set, lowest first.
fn indices(bits: &[u8]) -> BTreeSet<usize> {
    (0..bits.len() * 8)
        .filter(|index| bits[index / 8] >> (index % 8) & 1 == 1)
        .collect()
}

/// Bits at these indices, lowest first.
fn bits(indices: &[usize]) -> Vec<u8> {
    let length = indices.iter().max().map_or(0, |last| last / 8 + 1);
    let mut bits = vec![0; length];
    for index in indices {
        bits[index / 8] |= 1 << (index % 8);
    }
    bits
}

/// What this agent says of its engine and of the pieces that it holds.
fn state(slot: &Slot) -> Engine {
    let seen = lock(&slot.seen).clone();
    let version = seen.version();
    let (ip, port) = match slot.engine {
        SocketAddr::V4(address) => (address.ip().to_bits(), address.port()),
        SocketAddr::V6(_) => (0, 0),
    };
    let mut engine = Engine {
        address: ip,
        port: port.into(),
        answers: seen.answers,
        version,
        closed: seen.closed,
        ..Engine::default()
    };
    if let Some(at) = seen.closes {
        let left = at.saturating_duration_since(clock::now()).as_millis() as u64;
        engine.closes_in_ms = left.max(1);
    }
    if let Some(state) = seen.state {
        engine.born_ms = state.started_ms;
        engine.running = state.load.running;
        engine.waiting = state.load.waiting;
        engine.memory_taken = (state.memory_used * 1e3) as u32;
        engine.pace = (state.load.slowdown * 1e2) as u32;
        engine.closed |= state.loading;
    }
    let pieces = lock(&slot.pieces);
    let spreads = pieces.spreading().map(|(version, pieces)| Spread {
        version,
        pieces: bits(&pieces).into(),
    });
    engine.spreads = spreads.collect();
    engine
}

/// What was reported last to one group of hosts.
#[derive(Default)]
struct Reported(Option<(Engine, Instant)>);

impl Reported {
    /// Whether a report is due: the state has changed, at most every `interval`, or a beat is due.
    fn due(&self, engine: &Engine, interval: Duration, now: Instant) -> bool {
        let Some((sent, at)) = &self.0 else {
            return true;
        };
        let age = now.saturating_duration_since(*at);
        let turned = (sent.version, sent.answers, sent.closed)
            != (engine.version, engine.answers, engine.closed);
        turned || age >= HEARTBEAT_INTERVAL || *sent != *engine && age >= interval
    }

    fn send(&mut self, engine: &Engine, now: Instant) {
        self.0 = Some((engine.clone(), now));
    }
}

/// Reports the engine's state and ages the roster until the task is aborted.
pub async fn reports(slot: Arc<Slot>) {
    let (mut near, mut far) = <(Reported, Reported)>::default();
    let (mut near_agents, mut far_agents) = <(Reported, Reported)>::default();
    let mut round = 0;
    let mut beat: Option<Instant> = None;
    loop {
        let now = clock::now();
        let engine = state(&slot);
        let load = Engine {
            spreads: Vec::new(),
            ..engine.clone()
        };
        if near.due(&load, REPORT, now) {
            round += 1;
            let report = Engine {
                round,
                ..load.clone()
            };
            // Both groups get the same round, so that they share the same places out.
            let mut to = receivers(&slot, Role::Entry, true);
            near.send(&load, now);
            let others = receivers(&slot, Role::Entry, false);
            if far.due(
                &load,
                spread::report_interval(REPORT_FAR, others.len()),
                now,
            ) {
                to.extend(others);
                far.send(&load, now);
            }
            send(&slot, report, &to);
        }
        let holds = Engine {
            running: 0,
            waiting: 0,
            memory_taken: 0,
            closes_in_ms: 0,
            ..engine
        };
        for (reported, own) in [(&mut near_agents, true), (&mut far_agents, false)] {
            let to = receivers(&slot, Role::Agent, own);
            if reported.due(&holds, spread::report_interval(REPORT, to.len()), now) {
                reported.send(&holds, now);
                send(&slot, holds.clone(), &to);
            }
        }
        if beat.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL) {
            beat = Some(now);
            lock(&slot.roster).tick(now);
        }
        members::query_members(&slot.socket, &mut lock(&slot.roster));
        tokio::select! {
            () = time::sleep(REPORT) => {}
            () = slot.news.notified() => {}
        }
    }
}

/// Addresses of the processes of a role that are known in the own region or in the others.
fn receivers(slot: &Slot, role: Role, own: bool) -> Vec<Ipv4Addr> {
    let me = slot.socket.identity.address;
    let settings = &slot.settings;
    let region = settings.region(&settings.data_centre);
    lock(&slot.roster).addresses_in(role, me, |data_centre| {
        (settings.region(data_centre) == region) == own
    })
}

/// Sends a report.
fn send(slot: &Slot, report: Engine, to: &[Ipv4Addr]) {
    let packet = slot.socket.encode(Body::Engine(report));
    for address in to {
        members::send(&slot.socket, &packet, *address);
    }
}
