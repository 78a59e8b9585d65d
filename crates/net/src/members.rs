//! Membership by heartbeat datagrams. A process learns of other members from the lists that any
//! member sends on request.

use {
    crate::{clock, datagram::Socket, event},
    jayspread_core::member::{Change, Health, Table},
    jayspread_schema::peer::{Hello, Member, Members, Packet, Role, packet::Body},
    std::{
        collections::BTreeMap,
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between queries for a member list.
const QUERY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between queries while no heartbeat of another member has arrived.
pub const DISCOVERY_INTERVAL: Duration = Duration::from_millis(120);

/// Address and role of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// IP address of the host.
    pub address: Ipv4Addr,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Role of the process.
    pub role: Role,
    /// A datagram of the member itself arrived; otherwise only other members have listed it.
    heard_from: bool,
    /// Time at which it was last heard from or listed by another member.
    last_seen: Instant,
}

/// Known members and their health.
pub struct Roster {
    health: Table,
    contacts: BTreeMap<Box<str>, Contact>,
    seeds: Vec<Ipv4Addr>,
    last_query: Option<Instant>,
    query_count: usize,
}

impl Roster {
    /// Creates an empty roster; `seeds` are the addresses to query for a first member list.
    pub fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self {
            health: Table::new(HEARTBEAT_INTERVAL),
            contacts: BTreeMap::new(),
            seeds,
            last_query: None,
            query_count: 0,
        }
    }

    /// Records the sender of a packet as alive; returns true if it is new or has restarted.
    pub fn record_heartbeat(&mut self, packet: &Packet, now: Instant) -> bool {
        let host: Box<str> = packet.host.as_str().into();
        let contact = Contact {
            address: Ipv4Addr::from_bits(packet.address),
            data_centre: packet.data_centre.as_str().into(),
            role: packet.role(),
            heard_from: true,
            last_seen: now,
        };
        self.contacts.insert(host.clone(), contact);
        let change = self.health.heartbeat(
            &host,
            packet.incarnation,
            packet.sequence,
            packet.leaving,
            now,
        );
        if change != Change::None {
            event!(
                Info,
                "member",
                host = host,
                change = format!("{change:?}").to_lowercase(),
                incarnation = packet.incarnation
            );
        }
        matches!(change, Change::Up | Change::Restarted)
    }

    /// Adds members from the list of another member.
    pub fn add_listed(&mut self, members: &Members, now: Instant) {
        for member in &members.members {
            self.add(member, now);
        }
    }

    fn add(&mut self, member: &Member, now: Instant) {
        let listed = Contact {
            address: Ipv4Addr::from_bits(member.address),
            data_centre: member.data_centre.as_str().into(),
            role: member.role(),
            heard_from: false,
            last_seen: now,
        };
        let contact = self
            .contacts
            .entry(member.host.as_str().into())
            .or_insert(listed);
        contact.last_seen = contact.last_seen.max(now);
    }

    /// Updates the health of all members; removes dead ones and those never heard from that no other
    /// member lists any more.
    pub fn tick(&mut self, now: Instant) {
        for (host, health) in self.health.tick(now) {
            event!(
                Info,
                "member",
                host = host,
                change = format!("{health:?}").to_lowercase()
            );
            if health == Health::Dead {
                self.contacts.remove(&host);
            }
        }
        self.contacts.retain(|_, c| {
            c.heard_from || now.saturating_duration_since(c.last_seen) < QUERY_INTERVAL * 3
        });
    }

    /// Whether no other member has been heard from.
    pub fn is_alone(&self) -> bool {
        !self.contacts.values().any(|c| c.heard_from)
    }

    /// Addresses to query for a member list now; empty until the interval has passed.
    ///
    /// Returns all seeds while no member has been heard from, then one entry host at a time in turn.
    pub fn next_queries(&mut self, me: Ipv4Addr, now: Instant) -> Vec<Ipv4Addr> {
        let alone = self.is_alone();
        let interval = if alone {
            DISCOVERY_INTERVAL
        } else {
            QUERY_INTERVAL
        };
        if self.last_query.is_some_and(|at| now < at + interval) {
            return Vec::new();
        }
        self.last_query = Some(now);
        self.query_count += 1;
        if alone {
            let seeds = self.seeds.iter().filter(|seed| **seed != me);
            return seeds.copied().collect();
        }
        let entries: Vec<Ipv4Addr> = self
            .known_members(Role::Entry)
            .map(|(_, c)| c.address)
            .collect();
        let index = self.query_count % entries.len().max(1);
        entries.get(index).copied().into_iter().collect()
    }

    /// Whether a member is alive and not leaving.
    pub fn usable(&self, host: &str) -> bool {
        self.health.usable(host)
    }

    /// Members with `role` that are alive and not leaving.
    pub fn usable_members(&self, role: Role) -> impl Iterator<Item = (&Box<str>, &Contact)> {
        self.contacts
            .iter()
            .filter(move |(host, c)| c.role == role && self.health.usable(host))
    }

    /// Position of the host `me` among the usable members with `role` in the data centres selected by
    /// `in_group`, ordered by name, and the number of these members including `me`.
    pub fn position(
        &self,
        me: &str,
        role: Role,
        in_group: impl Fn(&str) -> bool,
    ) -> (usize, usize) {
        let (mut before, mut others) = (0, 0);
        for (host, _) in self
            .usable_members(role)
            .filter(|(_, c)| in_group(&c.data_centre))
        {
            others += 1;
            before += usize::from(**host < *me);
        }
        (before, others + 1)
    }

    /// Members with `role` that are usable, or listed by others and not heard from yet.
    pub fn known_members(&self, role: Role) -> impl Iterator<Item = (&Box<str>, &Contact)> {
        self.contacts.iter().filter(move |(host, c)| {
            let listed_only = !c.heard_from && self.health.health(host) == Health::Unknown;
            c.role == role && (listed_only || self.health.usable(host))
        })
    }

    /// Addresses of all members with `role` except `me`, heard from or only listed by others.
    pub fn addresses(&self, role: Role, me: Ipv4Addr) -> Vec<Ipv4Addr> {
        self.addresses_in(role, me, |_| true)
    }

    /// Like [`Roster::addresses`], limited to the data centres selected by `in_group`.
    pub fn addresses_in(
        &self,
        role: Role,
        me: Ipv4Addr,
        in_group: impl Fn(&str) -> bool,
    ) -> Vec<Ipv4Addr> {
        let selected = self
            .contacts
            .values()
            .filter(|c| c.role == role && in_group(&c.data_centre));
        let addresses = selected.map(|c| c.address);
        addresses.filter(|address| *address != me).collect()
    }

    /// Member list to send to others: this process, `me`, and all members that are alive.
    pub fn list(&self, me: Member) -> Members {
        let alive = self
            .contacts
            .iter()
            .filter(|(host, _)| self.health.health(host) == Health::Alive);
        let mut members: Vec<Member> = alive
            .map(|(host, c)| Member {
                host: host.to_string(),
                address: c.address.to_bits(),
                data_centre: c.data_centre.to_string(),
                role: c.role.into(),
            })
            .collect();
        members.push(me);
        Members { members }
    }

    /// Host names and health of all members.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Health)> {
        self.health.iter()
    }
}

/// Queries other members for their lists if the interval has passed.
pub fn query_members(socket: &Socket, roster: &mut Roster) {
    let addresses = roster.next_queries(socket.identity.address, clock::now());
    if addresses.is_empty() {
        return;
    }
    let hello = socket.encode(Body::Hello(Hello {}));
    for address in addresses {
        send(socket, &hello, address);
    }
}

/// Sends a packet; a failure is only logged, as the next heartbeat repeats the information.
pub fn send(socket: &Socket, packet: &[u8], to: Ipv4Addr) {
    if let Err(cause) = socket.send(packet, to) {
        event!(Debug, "datagram_failed", to = to, reason = cause);
    }
}
