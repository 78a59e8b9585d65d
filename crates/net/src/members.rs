//! Membership over datagrams: drives [`swim::Group`] with the contacts of the processes.

use {
    crate::{
        datagram::{Identity, Socket},
        event,
    },
    jayspread_core::{
        id::{DataCentre, Host, Incarnation, Region},
        swim::{self, Change, EAGER_PROBE_PERIOD, Group, Message, PROBE_PERIOD, Standing, Update},
    },
    jayspread_schema::peer::{
        Entry, Hello, Member, Members, Packet, Probe, ProbeRequest, Role, Standing as WireStanding,
        packet::Body,
    },
    rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::{
        collections::BTreeMap,
        net::Ipv4Addr,
        sync::MutexGuard,
        time::{Duration, Instant},
    },
};

/// Interval between queries of the seeds while no other member is known.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Time after the start in which a member probes and exchanges lists more often.
const EAGER_TIME: Duration = Duration::from_millis(2_500);
/// Shortest interval between two lists sent to members of the own region whose digests differ.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same for a member that has just started.
const EAGER_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// The same for members of other regions; within a region the lists cost less.
const REMOTE_LIST_INTERVAL: Duration = Duration::from_secs(8);
/// Statements about other members in one datagram.
const MAX_UPDATES: usize = 10;
/// Members in one datagram of a list.
const LIST_PAGE: usize = 150;
/// Members of other regions in the list for a process that has just started.
const GREETING_SAMPLE: usize = 24;

/// Address and role of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// IP address of the host.
    pub address: Ipv4Addr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Role of the process.
    pub role: Role,
}

/// A datagram to be sent.
struct Delivery {
    to: Ipv4Addr,
    body: Body,
    updates: Vec<Member>,
}

/// Known members and their standing.
pub struct Roster {
    group: Group<Contact>,
    own_region: Region,
    regions: BTreeMap<DataCentre, Region>,
    own_address: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    started: Instant,
    last_query: Option<Instant>,
    last_list: Option<Instant>,
    last_remote_list: Option<Instant>,
    outbox: Vec<Delivery>,
    /// Number of usable entry hosts whose names precede this one's, and of all others.
    entry_rank: (usize, usize),
    /// Digest of the members that this process and another one named alike last.
    agreed_digest: Option<u64>,
    rng: SmallRng,
}

impl Roster {
    /// Creates an empty roster; `seeds` are the addresses to query for a first member list, and
    /// `regions` holds the region of each data centre.
    pub fn new(
        identity: &Identity,
        regions: BTreeMap<DataCentre, Region>,
        seeds: Vec<Ipv4Addr>,
        now: Instant,
    ) -> Self {
        let own_region = region_of(&regions, &identity.data_centre);
        let contact = Contact {
            address: identity.address,
            data_centre: identity.data_centre.clone(),
            region: own_region.clone(),
            role: identity.role,
        };
        Self {
            group: Group::new(identity.host.clone(), contact, identity.incarnation),
            own_region,
            regions,
            own_address: identity.address,
            seeds,
            started: now,
            last_query: None,
            last_list: None,
            last_remote_list: None,
            outbox: Vec::new(),
            entry_rank: (0, 0),
            agreed_digest: None,
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }

    /// Handles the membership part of a packet; returns true if its sender is new or has restarted.
    pub fn receive(&mut self, packet: &Packet, now: Instant) -> bool {
        let from: Host = packet.host.as_str().into();
        let contact = self.contact_of(packet.address, &packet.data_centre, packet.role());
        let address = contact.address;
        let is_regional = contact.region == self.own_region;
        let own = self
            .group
            .observe(&from, contact, packet.incarnation, packet.leaving, now);
        let is_new = own.as_ref().is_some_and(|change| change.is_new);
        let updates = self.decode(&packet.updates);
        let mut changes = self.group.merge(updates, now);
        changes.extend(own);
        match &packet.body {
            Some(Body::Hello(_)) => self.greet(&from, address, is_regional),
            Some(Body::Members(list)) => {
                let list = self.decode(&list.members);
                changes.extend(self.group.merge_list(list, now));
            }
            Some(Body::Ping(probe)) => {
                let nonce = probe.nonce;
                self.queue(&from, address, Message::Ack { nonce });
            }
            Some(Body::Ack(probe)) => {
                let forwarded = self.group.on_ack(probe.nonce);
                self.queue_send(forwarded);
            }
            Some(Body::ProbeRequest(request)) => {
                let relayed = self
                    .group
                    .on_probe_request(&from, request.nonce, &request.host, now);
                self.queue_send(relayed);
            }
            _ => {}
        }
        self.report(&changes);
        let agrees = packet.digest == self.group.digest();
        if agrees {
            self.agreed_digest = Some(packet.digest);
        }
        if packet.digest != 0 && !agrees {
            self.send_list(address, is_regional, now);
        }
        is_new
    }

    /// Sends probes and lets suspicions expire. `eager` asks for more frequent probes.
    pub fn tick(&mut self, eager: bool, now: Instant) {
        if self.is_alone() {
            self.query_seeds(now);
        }
        if self.group.next_tick().is_some_and(|at| now < at) {
            return;
        }
        let period = if eager || self.is_young(now) {
            EAGER_PROBE_PERIOD
        } else {
            PROBE_PERIOD
        };
        let (sends, changes) = self.group.tick(period, now, &mut self.rng);
        for send in sends {
            self.queue_send(Some(send));
        }
        self.report(&changes);
    }

    /// Time at which [`Roster::tick`] is to be called next.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let next = self.group.next_tick().unwrap_or(now);
        if self.is_alone() {
            next.min(now + SEED_QUERY_INTERVAL)
        } else {
            next
        }
    }

    fn is_young(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < EAGER_TIME
    }

    fn contact_of(&self, address: u32, data_centre: &str, role: Role) -> Contact {
        Contact {
            address: Ipv4Addr::from_bits(address),
            data_centre: data_centre.into(),
            region: region_of(&self.regions, data_centre),
            role,
        }
    }

    fn decode(&self, members: &[Member]) -> Vec<Update<Contact>> {
        let decoded = members.iter().filter_map(|member| {
            Some(Update {
                host: member.host.as_str().into(),
                contact: self.contact_of(member.address, &member.data_centre, member.role()),
                incarnation: member.incarnation,
                standing: decode_standing(member.standing())?,
            })
        });
        decoded.collect()
    }

    fn query_seeds(&mut self, now: Instant) {
        if self
            .last_query
            .is_some_and(|at| now < at + SEED_QUERY_INTERVAL)
        {
            return;
        }
        self.last_query = Some(now);
        for seed in self.seeds.clone() {
            if seed != self.own_address {
                self.outbox.push(Delivery {
                    to: seed,
                    body: Body::Hello(Hello {}),
                    updates: Vec::new(),
                });
            }
        }
    }

    /// Sends a process that has just started the members of its region and some others.
    fn greet(&mut self, host: &str, address: Ipv4Addr, is_regional: bool) {
        let region = self.group.contact(host).map(|c| c.region.clone());
        let region = region.unwrap_or_else(|| self.own_region.clone());
        let (mut list, others): (Vec<_>, Vec<_>) = self
            .group
            .statements()
            .partition(|update| is_regional || update.contact.region == region);
        list.extend(
            others
                .into_iter()
                .choose_multiple(&mut self.rng, GREETING_SAMPLE),
        );
        self.push_list(address, &list);
    }

    /// Sends all members to one whose digest differs, unless another list was sent just before.
    fn send_list(&mut self, address: Ipv4Addr, is_regional: bool, now: Instant) {
        let (last, interval) = if is_regional && self.is_young(now) {
            (&mut self.last_list, EAGER_LIST_INTERVAL)
        } else if is_regional {
            (&mut self.last_list, LIST_INTERVAL)
        } else {
            (&mut self.last_remote_list, REMOTE_LIST_INTERVAL)
        };
        if last.is_some_and(|at| now < at + interval) {
            return;
        }
        *last = Some(now);
        let list: Vec<Update<Contact>> = self.group.statements().collect();
        self.push_list(address, &list);
    }

    fn push_list(&mut self, to: Ipv4Addr, list: &[Update<Contact>]) {
        for page in list.chunks(LIST_PAGE) {
            let members = page.iter().map(encode_update).collect();
            self.outbox.push(Delivery {
                to,
                body: Body::Members(Members { members }),
                updates: Vec::new(),
            });
        }
    }

    fn queue_send(&mut self, send: Option<swim::Send>) {
        let Some(send) = send else {
            return;
        };
        if let Some(address) = self.group.contact(&send.to).map(|c| c.address) {
            self.queue(&send.to, address, send.message);
        }
    }

    fn queue(&mut self, host: &str, to: Ipv4Addr, message: Message) {
        let probe = |nonce| Probe { nonce, entry: None };
        let body = match message {
            Message::Probe { nonce } => Body::Ping(probe(nonce)),
            Message::Ack { nonce } => Body::Ack(probe(nonce)),
            Message::ProbeRequest { nonce, host } => Body::ProbeRequest(ProbeRequest {
                nonce,
                host: host.into(),
            }),
        };
        let updates = self.group.take_updates(host, MAX_UPDATES);
        self.outbox.push(Delivery {
            to,
            body,
            updates: updates.iter().map(encode_update).collect(),
        });
    }

    fn report(&mut self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let standing = format!("{:?}", change.standing).to_lowercase();
            if change.standing == Standing::Alive {
                event!(Debug, "member", host = change.host, change = standing);
            } else {
                event!(Info, "member", host = change.host, change = standing);
            }
        }
        let own_name = self.group.me();
        let usable = self.usable_members(Role::Entry);
        let (before, total) = usable.fold((0, 0), |(before, total), (host, _)| {
            (before + usize::from(host < own_name), total + 1)
        });
        self.entry_rank = (before, total);
    }

    /// Whether no other member is known to be there.
    pub fn is_alone(&self) -> bool {
        !self
            .group
            .iter()
            .any(|(_, _, standing)| matches!(standing, Standing::Alive | Standing::Suspect))
    }

    /// Number of usable entry hosts other than this one.
    pub fn other_entry_hosts(&self) -> usize {
        self.entry_rank.1
    }

    /// Whether another member has named just the members that this process knows now.
    pub fn is_agreed(&self) -> bool {
        self.agreed_digest == Some(self.group.digest())
    }

    /// Number of usable entry hosts whose names precede this one's.
    pub fn preceding_entry_hosts(&self) -> usize {
        self.entry_rank.0
    }

    /// Whether a member is alive and not leaving.
    pub fn usable(&self, host: &str) -> bool {
        self.group.standing(host) == Some(Standing::Alive)
    }

    /// Address, data centre and role of a member.
    pub fn contact(&self, host: &str) -> Option<&Contact> {
        self.group.contact(host)
    }

    /// Latest known incarnation of a member.
    pub fn incarnation(&self, host: &str) -> Option<Incarnation> {
        self.group.incarnation_of(host)
    }

    /// Members with `role` that are alive and not leaving, by name.
    pub fn usable_members(&self, role: Role) -> impl Iterator<Item = (&Host, &Contact)> {
        self.present(move |contact, standing| contact.role == role && standing == Standing::Alive)
    }

    /// Members with `role` that are not gone, by name; some may be suspect.
    pub fn known_members(&self, role: Role) -> impl Iterator<Item = (&Host, &Contact)> {
        self.present(move |contact, standing| {
            contact.role == role && matches!(standing, Standing::Alive | Standing::Suspect)
        })
    }

    fn present(
        &self,
        is_selected: impl Fn(&Contact, Standing) -> bool,
    ) -> impl Iterator<Item = (&Host, &Contact)> {
        let selected = move |(host, contact, standing)| {
            is_selected(contact, standing).then_some((host, contact))
        };
        self.group.iter().filter_map(selected)
    }

    /// Names and standings of all members.
    pub fn iter(&self) -> impl Iterator<Item = (&Host, Standing)> {
        self.group
            .iter()
            .map(|(host, _, standing)| (host, standing))
    }
}

fn region_of(regions: &BTreeMap<DataCentre, Region>, data_centre: &str) -> Region {
    regions
        .get(data_centre)
        .cloned()
        .unwrap_or_else(|| data_centre.into())
}

fn encode_update(update: &Update<Contact>) -> Member {
    let standing = match update.standing {
        Standing::Alive => WireStanding::Alive,
        Standing::Suspect => WireStanding::Suspect,
        Standing::Dead => WireStanding::Dead,
        Standing::Left => WireStanding::Left,
    };
    Member {
        host: update.host.to_string(),
        address: update.contact.address.to_bits(),
        data_centre: update.contact.data_centre.to_string(),
        role: update.contact.role.into(),
        incarnation: update.incarnation,
        standing: standing.into(),
    }
}

/// `None` for a standing that this version does not know.
fn decode_standing(standing: WireStanding) -> Option<Standing> {
    match standing {
        WireStanding::Alive => Some(Standing::Alive),
        WireStanding::Suspect => Some(Standing::Suspect),
        WireStanding::Dead => Some(Standing::Dead),
        WireStanding::Left => Some(Standing::Left),
        WireStanding::Unspecified => None,
    }
}

/// Sends the datagrams that the roster has queued. `entry` makes the state of this host that probes
/// and acknowledgements carry; it is called after the roster is unlocked.
pub fn flush(
    socket: &Socket,
    mut roster: MutexGuard<'_, Roster>,
    entry: impl Fn() -> Option<Entry>,
) {
    let deliveries = std::mem::take(&mut roster.outbox);
    if deliveries.is_empty() {
        return;
    }
    socket.set_incarnation(roster.group.incarnation());
    let digest = roster.group.digest();
    drop(roster);
    let mut own_entry = None;
    for mut delivery in deliveries {
        if let Body::Ping(probe) | Body::Ack(probe) = &mut delivery.body {
            probe.entry = own_entry.get_or_insert_with(&entry).clone();
        }
        let packet = socket.encode_with(delivery.body, delivery.updates, digest);
        send(socket, &packet, delivery.to);
    }
}

/// Sends a packet; a failure is only logged, as later packets repeat the information.
pub fn send(socket: &Socket, packet: &[u8], to: Ipv4Addr) {
    if let Err(cause) = socket.send(packet, to) {
        event!(Debug, "datagram_failed", to = to, reason = cause);
    }
}
