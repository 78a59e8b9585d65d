//! Processes of one site that are heard from: heartbeats over datagrams, introduced by any member.

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

/// Interval of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of asking a member for its list.
const ASK: Duration = Duration::from_millis(2_000);
/// Interval of asking while no other member is known.
pub const DISCOVERY_INTERVAL: Duration = Duration::from_millis(120);

/// A member that is heard from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// What it does.
    pub role: Role,
    /// It was heard from itself, not only named by others.
    heard: bool,
    /// Time at which it was named last.
    named: Instant,
}

/// Members that are known.
pub struct Roster {
    health: Table,
    contacts: BTreeMap<Box<str>, Contact>,
    seeds: Vec<Ipv4Addr>,
    asked: Option<Instant>,
    turn: usize,
}

impl Roster {
    /// Creates a roster that knows only addresses to ask.
    pub fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self {
            health: Table::new(HEARTBEAT_INTERVAL),
            contacts: BTreeMap::new(),
            seeds,
            asked: None,
            turn: 0,
        }
    }

    /// Takes in who sent a packet; true when it was not heard before in this life.
    pub fn record_heartbeat(&mut self, packet: &Packet, now: Instant) -> bool {
        let host: Box<str> = packet.host.as_str().into();
        let contact = Contact {
            address: Ipv4Addr::from_bits(packet.address),
            data_centre: packet.data_centre.as_str().into(),
            role: packet.role(),
            heard: true,
            named: now,
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

    /// Takes in members that another one names.
    pub fn add_listed(&mut self, members: &Members, now: Instant) {
        for member in &members.members {
            self.name(member, now);
        }
    }

    fn name(&mut self, member: &Member, now: Instant) {
        let contact = Contact {
            address: Ipv4Addr::from_bits(member.address),
            data_centre: member.data_centre.as_str().into(),
            role: member.role(),
            heard: false,
            named: now,
        };
        let known = self
            .contacts
            .entry(member.host.as_str().into())
            .or_insert(contact);
        known.named = known.named.max(now);
    }

    /// Ages all members; drops those that are silent and that nobody names.
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
        self.contacts
            .retain(|_, c| c.heard || now.saturating_duration_since(c.named) < ASK * 3);
    }

    /// Whether no other member was heard yet.
    pub fn is_alone(&self) -> bool {
        !self.contacts.values().any(|c| c.heard)
    }

    /// Whom to ask for the list of members now, if anyone.
    pub fn next_queries(&mut self, me: Ipv4Addr, now: Instant) -> Vec<Ipv4Addr> {
        let alone = self.is_alone();
        let pause = if alone { DISCOVERY_INTERVAL } else { ASK };
        if self.asked.is_some_and(|at| now < at + pause) {
            return Vec::new();
        }
        self.asked = Some(now);
        self.turn += 1;
        if alone {
            let seeds = self.seeds.iter().filter(|seed| **seed != me);
            return seeds.copied().collect();
        }
        let entries: Vec<Ipv4Addr> = self
            .known_members(Role::Entry)
            .map(|(_, c)| c.address)
            .collect();
        let index = self.turn % entries.len().max(1);
        entries.get(index).copied().into_iter().collect()
    }

    /// Whether a member is heard from and not leaving.
    pub fn usable(&self, host: &str) -> bool {
        self.health.usable(host)
    }

    /// Members of a role that are heard from and not leaving.
    pub fn usable_members(&self, role: Role) -> impl Iterator<Item = (&Box<str>, &Contact)> {
        self.contacts
            .iter()
            .filter(move |(host, c)| c.role == role && self.health.usable(host))
    }

    /// Place of this process, `me`, among the members of its role in data centres that `group` takes,
    /// in the order of their names, and how many they are.
    pub fn position(&self, me: &str, role: Role, group: impl Fn(&str) -> bool) -> (usize, usize) {
        let (mut before, mut others) = (0, 0);
        for (host, _) in self
            .usable_members(role)
            .filter(|(_, c)| group(&c.data_centre))
        {
            others += 1;
            before += usize::from(**host < *me);
        }
        (before, others + 1)
    }

    /// Members of a role that are heard from, or that others name and that were not heard yet.
    pub fn known_members(&self, role: Role) -> impl Iterator<Item = (&Box<str>, &Contact)> {
        self.contacts.iter().filter(move |(host, c)| {
            let unheard = !c.heard && self.health.health(host) == Health::Unknown;
            c.role == role && (unheard || self.health.usable(host))
        })
    }

    /// Members of a role that beats go to: all that are known, heard from or only named.
    pub fn addresses(&self, role: Role, me: Ipv4Addr) -> Vec<Ipv4Addr> {
        self.addresses_in(role, me, |_| true)
    }

    /// The same in data centres that `group` takes.
    pub fn addresses_in(
        &self,
        role: Role,
        me: Ipv4Addr,
        group: impl Fn(&str) -> bool,
    ) -> Vec<Ipv4Addr> {
        let fitting = self
            .contacts
            .values()
            .filter(|c| c.role == role && group(&c.data_centre));
        let addresses = fitting.map(|c| c.address);
        addresses.filter(|address| *address != me).collect()
    }

    /// The list that this process gives to others: itself and those that it hears from.
    pub fn list(&self, me: Member) -> Members {
        let heard = self
            .contacts
            .iter()
            .filter(|(host, _)| self.health.health(host) == Health::Alive);
        let mut members: Vec<Member> = heard
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

    /// Members and their health, for dumps.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, Health)> {
        self.health.iter()
    }
}

/// Asks for lists of members where it is due.
pub fn query_members(socket: &Socket, roster: &mut Roster) {
    let whom = roster.next_queries(socket.identity.address, clock::now());
    if whom.is_empty() {
        return;
    }
    let hello = socket.encode(Body::Hello(Hello {}));
    for address in whom {
        send(socket, &hello, address);
    }
}

/// Sends a packet and logs a failure; the next beat repeats what it said.
pub fn send(socket: &Socket, packet: &[u8], to: Ipv4Addr) {
    if let Err(cause) = socket.send(packet, to) {
        event!(Debug, "datagram_failed", to = to, reason = cause);
    }
}
