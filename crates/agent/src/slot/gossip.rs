//! Datagram exchange with entry hosts and other agents: receives target versions, membership and
//! reports, and sends the engine's load.

use {
    crate::{
        shared::lock,
        slot::shared::{PeerReport, Shared, WeightSource},
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

/// Shortest interval between reports of a changed load to entry hosts of the same region.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same for entry hosts of other regions, which send here only what their own region cannot
/// take.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(170);

/// Receives datagrams until the task is aborted.
pub async fn receive(shared: Arc<Shared>) {
    let malformed = &shared.metrics.malformed;
    shared
        .socket
        .listen(malformed, |packet| handle_packet(&shared, packet))
        .await;
}

fn handle_packet(shared: &Shared, packet: Packet) {
    if *packet.host == *shared.settings.host {
        return;
    }
    let now = clock::now();
    lock(&shared.roster).record_heartbeat(&packet, now);
    let sender = Ipv4Addr::from_bits(packet.address);
    match packet.body {
        Some(Body::Hello(_)) => {
            let list = lock(&shared.roster).list(shared.socket.identity.member());
            let packet = shared.socket.encode(Body::Members(list));
            members::send(&shared.socket, &packet, sender);
        }
        Some(Body::Members(list)) => lock(&shared.roster).add_listed(&list, now),
        Some(Body::Entry(entry)) => apply_target(shared, &entry),
        Some(Body::Engine(engine)) => {
            let report = PeerReport {
                serving_version: engine.version,
                held_pieces: engine
                    .spreads
                    .iter()
                    .map(|spread| (spread.version, from_bitmap(&spread.pieces)))
                    .collect(),
                received_at: now,
            };
            lock(&shared.peer_reports).insert(packet.host.into(), report);
            shared.holders_changed.notify_one();
        }
        None => {}
    }
}

/// Applies the target version that an entry host announces for this engine's service.
fn apply_target(shared: &Shared, entry: &Entry) {
    let service = shared.settings.service.as_deref();
    let matches_service =
        |target: &&Target| service.is_none_or(|service| *service == *target.service);
    let Some(target) = entry.targets.iter().find(matches_service) else {
        return;
    };
    let origin = u16::try_from(target.origin_port).ok();
    let origin = origin.filter(|port| *port != 0).map(|port| {
        let ip = Ipv4Addr::from_bits(target.origin_address);
        SocketAddr::new(IpAddr::V4(ip), port)
    });
    let source = WeightSource {
        model: target.model.as_str().into(),
        origin,
        data_centre: target.origin_data_centre.as_str().into(),
    };
    let mut current_source = lock(&shared.weight_source);
    if current_source.as_ref() != Some(&source) {
        event!(
            Info,
            "weight_source",
            model = source.model,
            origin = format!("{origin:?}")
        );
        *current_source = Some(source);
    }
    drop(current_source);
    let age = Duration::from_millis(target.age_ms);
    let now = clock::now();
    let announced_at = now.checked_sub(age).unwrap_or(now);
    if lock(&shared.targets).record(&target.model, target.version, announced_at) {
        event!(
            Info,
            "version_named",
            version = target.version,
            age_ms = target.age_ms
        );
        shared.target_updates.send_modify(|count| *count += 1);
    }
}

/// Indices of the set bits; bit 0 is the lowest bit of the first byte.
fn from_bitmap(bitmap: &[u8]) -> BTreeSet<usize> {
    (0..bitmap.len() * 8)
        .filter(|index| bitmap[index / 8] >> (index % 8) & 1 == 1)
        .collect()
}

/// Bitmap with the bits at `indices` set, the inverse of `from_bitmap`.
fn to_bitmap(indices: &[usize]) -> Vec<u8> {
    let byte_count = indices.iter().max().map_or(0, |last| last / 8 + 1);
    let mut bitmap = vec![0; byte_count];
    for index in indices {
        bitmap[index / 8] |= 1 << (index % 8);
    }
    bitmap
}

/// Builds a report of the engine's state and of the pieces in memory.
fn engine_report(shared: &Shared) -> Engine {
    let state = lock(&shared.engine_state).clone();
    let version = state.serving_version();
    let (ip, port) = match shared.engine_address {
        SocketAddr::V4(address) => (address.ip().to_bits(), address.port()),
        SocketAddr::V6(_) => (0, 0),
    };
    let mut engine = Engine {
        address: ip,
        port: port.into(),
        answers: state.responsive,
        version,
        closed: state.closed_for_load,
        ..Engine::default()
    };
    if let Some(planned_at) = state.load_planned_at {
        let remaining_ms = planned_at
            .saturating_duration_since(clock::now())
            .as_millis() as u64;
        // 0 would mean that no load is planned.
        engine.closes_in_ms = remaining_ms.max(1);
    }
    if let Some(state) = state.latest {
        engine.born_ms = state.started_ms;
        engine.running = state.load.running;
        engine.waiting = state.load.waiting;
        engine.memory_taken = (state.memory_used * 1e3) as u32;
        engine.pace = (state.load.slowdown * 1e2) as u32;
        engine.closed |= state.loading;
    }
    let pieces = lock(&shared.pieces);
    let spreads = pieces.offered_versions().map(|(version, pieces)| Spread {
        version,
        pieces: to_bitmap(&pieces).into(),
    });
    engine.spreads = spreads.collect();
    engine
}

/// Last report sent to one group of hosts, and the time at which it was sent.
#[derive(Default)]
struct ReportSchedule(Option<(Engine, Instant)>);

impl ReportSchedule {
    /// Whether a report is due. Changes of version or availability are reported at once, other
    /// changes at most every `interval`, and an unchanged state with every heartbeat.
    fn due(&self, engine: &Engine, interval: Duration, now: Instant) -> bool {
        let Some((sent, sent_at)) = &self.0 else {
            return true;
        };
        let age = now.saturating_duration_since(*sent_at);
        let urgent = (sent.version, sent.answers, sent.closed)
            != (engine.version, engine.answers, engine.closed);
        urgent || age >= HEARTBEAT_INTERVAL || *sent != *engine && age >= interval
    }

    fn mark_sent(&mut self, engine: &Engine, now: Instant) {
        self.0 = Some((engine.clone(), now));
    }
}

/// Reports the engine's state and expires roster entries until the task is aborted.
pub async fn send_reports(shared: Arc<Shared>) {
    let (mut local_entries, mut remote_entries) = <(ReportSchedule, ReportSchedule)>::default();
    let (mut local_agents, mut remote_agents) = <(ReportSchedule, ReportSchedule)>::default();
    let mut round = 0;
    let mut last_tick: Option<Instant> = None;
    loop {
        let now = clock::now();
        let full_report = engine_report(&shared);
        let load_report = Engine {
            spreads: Vec::new(),
            ..full_report.clone()
        };
        if local_entries.due(&load_report, REPORT_INTERVAL, now) {
            round += 1;
            let report = Engine {
                round,
                ..load_report.clone()
            };
            // Both groups get the same round number, by which entry hosts divide this engine's free
            // capacity.
            let mut recipients = recipient_addresses(&shared, Role::Entry, true);
            local_entries.mark_sent(&load_report, now);
            let remote_recipients = recipient_addresses(&shared, Role::Entry, false);
            if remote_entries.due(
                &load_report,
                spread::report_interval(REMOTE_REPORT_INTERVAL, remote_recipients.len()),
                now,
            ) {
                recipients.extend(remote_recipients);
                remote_entries.mark_sent(&load_report, now);
            }
            send_report(&shared, report, &recipients);
        }
        // Other agents use only the version and the pieces; changes of the load would cause more
        // reports to them.
        let agent_report = Engine {
            running: 0,
            waiting: 0,
            memory_taken: 0,
            closes_in_ms: 0,
            ..full_report
        };
        for (schedule, own_region) in [(&mut local_agents, true), (&mut remote_agents, false)] {
            let recipients = recipient_addresses(&shared, Role::Agent, own_region);
            if schedule.due(
                &agent_report,
                spread::report_interval(REPORT_INTERVAL, recipients.len()),
                now,
            ) {
                schedule.mark_sent(&agent_report, now);
                send_report(&shared, agent_report.clone(), &recipients);
            }
        }
        if last_tick.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL) {
            last_tick = Some(now);
            lock(&shared.roster).tick(now);
        }
        members::query_members(&shared.socket, &mut lock(&shared.roster));
        tokio::select! {
            () = time::sleep(REPORT_INTERVAL) => {}
            () = shared.report_now.notified() => {}
        }
    }
}

/// Addresses of the known processes of a role, in this host's region or in all other regions.
fn recipient_addresses(shared: &Shared, role: Role, own_region: bool) -> Vec<Ipv4Addr> {
    let own_address = shared.socket.identity.address;
    let settings = &shared.settings;
    let region = settings.region(&settings.data_centre);
    lock(&shared.roster).addresses_in(role, own_address, |data_centre| {
        (settings.region(data_centre) == region) == own_region
    })
}

fn send_report(shared: &Shared, report: Engine, recipients: &[Ipv4Addr]) {
    let packet = shared.socket.encode(Body::Engine(report));
    for address in recipients {
        members::send(&shared.socket, &packet, *address);
    }
}
