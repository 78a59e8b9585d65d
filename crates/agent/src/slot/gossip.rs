//! Datagram exchange with entry hosts and other agents: receives target versions, membership and
//! reports, and sends the engine's load.

use {
    crate::{
        shared::lock,
        slot::shared::{EntryHost, Shared, Subscriber, WeightSource},
    },
    jayspread_core::{
        audience::{Audience, View},
        engine::Rotation,
        holders::Report,
        id::{Host, Region, Revision},
        spread,
    },
    jayspread_net::{
        clock, event, members,
        targets::{self, History},
    },
    jayspread_schema::peer::{Engine, Entry, Interest, Packet, Role, Spread, Target, packet::Body},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Shortest interval between reports of a changed load to the entry hosts that share the engine's
/// slots.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same for entry hosts that get what these leave.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(170);
/// Interval between reports to all of the latter, also to those that get no slot.
const REMOTE_REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between reports while nothing changes.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The same for agents that fetch pieces.
const IDLE_PIECE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the next report at which the slots granted by this one run out.
const GRANT_MARGIN: Duration = Duration::from_millis(80);
/// Time without a heartbeat of an entry host, while it gets reports, after which its place goes to
/// another.
const ENTRY_TTL: Duration = Duration::from_millis(2_200);
/// Time for which a silent entry host is remembered.
const SILENT_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an agent that fetches pieces gets reports after it has asked for them.
const SUBSCRIPTION_TIME: Duration = Duration::from_millis(1_300);
/// Largest number of agents that get reports on pieces.
const MAX_SUBSCRIBERS: usize = 48;

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
    lock(&shared.roster).receive(&packet, now);
    flush(shared);
    match &packet.body {
        Some(Body::Entry(entry)) => apply_entry(shared, entry, &packet.host, now),
        Some(Body::Ping(probe) | Body::Ack(probe)) => {
            if let Some(entry) = &probe.entry {
                apply_entry(shared, entry, &packet.host, now);
            }
        }
        Some(Body::Engine(engine)) => {
            let report = Report {
                incarnation: packet.incarnation,
                serving_version: engine.version,
                held_pieces: engine
                    .spreads
                    .iter()
                    .map(|spread| (spread.version, from_bitmap(&spread.pieces)))
                    .collect(),
                received_at: now,
            };
            lock(&shared.peer_reports).insert(packet.host.as_str().into(), report);
            shared.holders_changed.notify_one();
        }
        Some(Body::Interest(_)) => subscribe(shared, &packet, now),
        _ => {}
    }
}

/// Sends the datagrams that the roster has queued.
fn flush(shared: &Shared) {
    members::flush(&shared.socket, lock(&shared.roster), || None);
}

/// Reports to an agent that fetches pieces, now and for a while.
fn subscribe(shared: &Shared, packet: &Packet, now: Instant) {
    let address = Ipv4Addr::from_bits(packet.address);
    let subscriber = Subscriber {
        address,
        until: now + SUBSCRIPTION_TIME,
    };
    let mut subscribers = lock(&shared.subscribers);
    let host: Host = packet.host.as_str().into();
    if subscribers.len() >= MAX_SUBSCRIBERS && !subscribers.contains_key(&host) {
        return;
    }
    subscribers.insert(host, subscriber);
    drop(subscribers);
    send_report(shared, piece_report(engine_report(shared)), &[address]);
}

/// Asks agents for reports on the pieces that they hold.
pub fn ask_for_reports(shared: &Shared, version: u64, agents: &BTreeSet<Ipv4Addr>) {
    let packet = shared.socket.encode(Body::Interest(Interest { version }));
    for address in agents {
        members::send(&shared.socket, &packet, *address);
    }
}

/// Applies the state of an entry host.
fn apply_entry(shared: &Shared, entry: &Entry, host: &str, now: Instant) {
    let service = shared.settings.service.as_deref();
    let matches_service =
        |target: &&Target| service.is_none_or(|service| *service == *target.service);
    let target = entry.targets.iter().find(matches_service);
    let entry_host = EntryHost {
        heard_at: now,
        is_stranded: target.is_some_and(|target| target.no_regional_engine),
    };
    lock(&shared.entry_hosts).insert(host.into(), entry_host);
    if let Some(target) = target {
        apply_target(shared, target, entry.revision);
    }
}

/// Applies the target version that an entry host announces for this engine's service, and the origin
/// that its configuration names.
fn apply_target(shared: &Shared, target: &Target, revision: Revision) {
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
    let model = source.model.clone();
    if lock(&shared.weight_source).learn(revision, source) {
        event!(
            Info,
            "weight_source",
            model = model,
            origin = format!("{origin:?}"),
            revision = revision
        );
    }
    let now = clock::now();
    let is_newer = {
        let mut targets = lock(&shared.targets);
        let is_newer = targets::learn(&mut targets, target, History::Unknown, now);
        targets::learn_counts(&mut targets, target, now);
        is_newer
    };
    if is_newer {
        event!(
            Info,
            "version_named",
            version = target.version,
            age_ms = target.age_ms,
            assumed = target.age_assumed
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
        engine.leaving = state.leaving;
        engine.limit = state.limit;
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
    /// Whether a report is due. Changes of version, availability or limit are reported at once,
    /// other changes at most every `interval`, and an unchanged state every `idle_interval`.
    fn due(
        &self,
        engine: &Engine,
        interval: Duration,
        idle_interval: Duration,
        now: Instant,
    ) -> bool {
        let Some((sent, sent_at)) = &self.0 else {
            return true;
        };
        let age = now.saturating_duration_since(*sent_at);
        let availability = |e: &Engine| (e.version, e.answers, e.closed, e.leaving, e.limit);
        let urgent = availability(sent) != availability(engine);
        urgent || age >= idle_interval || *sent != *engine && age >= interval
    }

    fn mark_sent(&mut self, engine: &Engine, now: Instant) {
        self.0 = Some((engine.clone(), now));
    }
}

/// Sends reports and probes until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut schedules = Schedules::default();
    loop {
        let now = clock::now();
        let next_probe = probe(&shared, now);
        schedules.report_load(&shared, now);
        schedules.report_pieces(&shared, now);
        let next = next_probe.min(now + REPORT_INTERVAL);
        tokio::select! {
            () = time::sleep_until(next.into()) => {}
            () = shared.report_now.notified() => {}
        }
    }
}

/// Forgets entry hosts that have been silent for long, and reports that count no more.
fn expire(shared: &Shared, now: Instant) {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < SILENT_RETENTION;
    lock(&shared.entry_hosts).retain(|_, host| is_recent(host.heard_at));
    lock(&shared.peer_reports).expire(now);
}

/// Sends the probes that are due; returns the time of the next ones.
fn probe(shared: &Shared, now: Instant) -> Instant {
    expire(shared, now);
    let is_empty = shared.weight_source().is_none();
    let mut roster = lock(&shared.roster);
    roster.tick(is_empty, now);
    let next = roster.next_tick(now);
    drop(roster);
    flush(shared);
    next
}

/// Entry hosts that this agent's engine serves.
pub fn audience(shared: &Shared) -> Audience {
    let settings = &shared.settings;
    let own_region = settings.region(&settings.data_centre);
    let now = clock::now();
    let roster = lock(&shared.roster);
    let heard = lock(&shared.entry_hosts);
    let mut entry_hosts: BTreeMap<Region, Vec<Host>> = BTreeMap::new();
    let mut stranded = BTreeSet::new();
    for (host, contact) in roster.usable_members(Role::Entry) {
        let state = heard.get(host);
        // A host that has never sent a heartbeat may not know of this agent yet.
        if state.is_some_and(|s| now.saturating_duration_since(s.heard_at) > ENTRY_TTL) {
            continue;
        }
        if state.is_some_and(|state| state.is_stranded) {
            stranded.insert(contact.region.clone());
        }
        let of_region = entry_hosts.entry(contact.region.clone()).or_default();
        of_region.push(host.clone());
    }
    drop(heard);
    let mut regions = BTreeSet::from([Region::from(own_region)]);
    let (mut engine, mut engines) = (0, 1);
    for (host, contact) in roster.usable_members(Role::Agent) {
        regions.insert(contact.region.clone());
        if *contact.region == *own_region {
            engines += 1;
            engine += usize::from(**host < *settings.host);
        }
    }
    let serving_regions = regions.difference(&stranded).count();
    Audience::select(&View {
        region: own_region,
        engine,
        engines,
        entry_hosts: &entry_hosts,
        stranded: &stranded,
        serving_regions,
    })
}

/// When each group of hosts got its last report.
#[derive(Default)]
struct Schedules {
    primary: ReportSchedule,
    /// Reports to the secondary hosts that may get a slot.
    secondary: ReportSchedule,
    /// Reports to all secondary hosts.
    all_secondary: ReportSchedule,
    subscribers: ReportSchedule,
    round: u64,
    audience: Audience,
}

impl Schedules {
    /// Reports the load to the entry hosts that the engine serves.
    fn report_load(&mut self, shared: &Shared, now: Instant) {
        let report = Engine {
            spreads: Vec::new(),
            ..engine_report(shared)
        };
        let primary_due = self
            .primary
            .due(&report, REPORT_INTERVAL, IDLE_REPORT_INTERVAL, now);
        if !primary_due {
            return;
        }
        self.round += 1;
        self.primary.mark_sent(&report, now);
        let audience = audience(shared);
        if audience != self.audience {
            event!(
                Info,
                "audience",
                primary = audience.primary.join(","),
                secondary = audience.secondary.join(",")
            );
            self.audience = audience.clone();
        }
        let remote_interval =
            spread::report_interval(REMOTE_REPORT_INTERVAL, audience.secondary.len());
        let idle_interval = IDLE_REPORT_INTERVAL.max(remote_interval);
        let all_due = self.all_secondary.due(
            &report,
            REMOTE_REFRESH_INTERVAL,
            REMOTE_REFRESH_INTERVAL,
            now,
        );
        let some_due = all_due
            || self
                .secondary
                .due(&report, remote_interval, idle_interval, now);
        if all_due {
            self.all_secondary.mark_sent(&report, now);
        }
        if some_due {
            self.secondary.mark_sent(&report, now);
        }
        let report = Engine {
            round: self.round,
            audience: (audience.primary.len() + audience.secondary.len()) as u32,
            sent_ms: now.saturating_duration_since(shared.started).as_millis() as u64,
            ..report
        };
        let primary = audience.primary.iter().map(Some).collect::<Vec<_>>();
        grant(shared, &report, &primary, false, IDLE_REPORT_INTERVAL);
        if some_due {
            let count = audience.secondary.len();
            let hosts = audience.secondary.iter().enumerate().map(|(index, host)| {
                let rotation = Rotation::remote(index, count, self.round);
                (all_due || rotation.may_get_spare_slot()).then_some(host)
            });
            let hosts: Vec<Option<&Host>> = hosts.collect();
            grant(shared, &report, &hosts, true, idle_interval);
        }
    }

    /// Reports the pieces in memory to the agents that fetch some. They do not use the load, whose
    /// changes would cause more reports.
    fn report_pieces(&mut self, shared: &Shared, now: Instant) {
        let mut subscribers = lock(&shared.subscribers);
        subscribers.retain(|_, subscriber| now < subscriber.until);
        let recipients: Vec<Ipv4Addr> = subscribers.values().map(|s| s.address).collect();
        drop(subscribers);
        if recipients.is_empty() {
            return;
        }
        let report = piece_report(engine_report(shared));
        let interval = spread::report_interval(REPORT_INTERVAL, recipients.len());
        if self
            .subscribers
            .due(&report, interval, IDLE_PIECE_REPORT_INTERVAL, now)
        {
            self.subscribers.mark_sent(&report, now);
            send_report(shared, report, &recipients);
        }
    }
}

/// The part of a report that agents use.
fn piece_report(report: Engine) -> Engine {
    Engine {
        running: 0,
        waiting: 0,
        memory_taken: 0,
        closes_in_ms: 0,
        ..report
    }
}

/// Sends a report to the entry hosts of a group that are given, with the place of each, from which it
/// computes the slots that it may use. `interval` is the longest time until the next report.
fn grant(
    shared: &Shared,
    report: &Engine,
    group: &[Option<&Host>],
    remote: bool,
    interval: Duration,
) {
    let addresses: Vec<Option<Ipv4Addr>> = {
        let roster = lock(&shared.roster);
        let address = |host: &Host| roster.contact(host).map(|contact| contact.address);
        group.iter().map(|host| address((*host)?)).collect()
    };
    for (position, address) in addresses.into_iter().enumerate() {
        let Some(address) = address else {
            continue;
        };
        let report = Engine {
            position: position as u32,
            group_size: group.len() as u32,
            remote,
            valid_ms: (interval + GRANT_MARGIN).as_millis() as u32,
            ..report.clone()
        };
        send_report(shared, report, &[address]);
    }
}

fn send_report(shared: &Shared, report: Engine, recipients: &[Ipv4Addr]) {
    let packet = shared.socket.encode(Body::Engine(report));
    for address in recipients {
        members::send(&shared.socket, &packet, *address);
    }
}
