//! Reports on the load of engines in the messages of agents.

use {
    jayspread_core::{
        clamp,
        delay::Sent,
        engine::{Load, Place, Report, Rotation},
    },
    jayspread_schema::peer::Engine,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Address of the engine that a report is about; `None` if its port is out of range.
pub fn address(engine: &Engine) -> Option<SocketAddr> {
    let port = u16::try_from(engine.port).ok().filter(|port| *port != 0)?;
    let ip = Ipv4Addr::from_bits(engine.address);
    Some(SocketAddr::new(IpAddr::V4(ip), port))
}

/// Decodes the report of the process `agent` that arrives at `now`; `max_new` is the number of
/// requests that the engine can start in one pass.
pub fn decode(engine: &Engine, agent: u64, max_new: u32, now: Instant) -> Report {
    let (position, size) = (engine.position as usize, engine.group_size as usize);
    let rotation = if engine.remote {
        Rotation::remote(position, size, engine.round)
    } else {
        Rotation::new(position, size, engine.round)
    };
    let rotation = rotation.with_lent(engine.lent);
    let hosts = engine.audience.max(1) as usize;
    let index = if engine.remote {
        hosts.saturating_sub(size) + position
    } else {
        position
    };
    let closes_in = clamp::milliseconds(engine.closes_in_ms);
    Report {
        rotation,
        place: Place { index, hosts },
        sent: Sent {
            process: agent,
            uptime: Duration::from_millis(engine.sent_ms),
        },
        valid: clamp::milliseconds(engine.valid_ms.into()),
        responsive: engine.answers,
        load: Load {
            running: engine.running,
            waiting: engine.waiting,
            slowdown: f64::from(engine.pace) / 100.0,
        },
        version: (engine.version > 0).then_some(engine.version),
        closed: engine.closed,
        closes_at: (!closes_in.is_zero()).then(|| clamp::later(now, closes_in)),
        max_new,
        leaving: engine.leaving,
        limit: engine
            .limit
            .filter(|limit| limit.is_finite() && *limit >= 0.0),
    }
}
