//! Tests of decoding the reports of agents on the load of their engines.

use {
    jayspread_core::engine::Place,
    jayspread_net::reports,
    jayspread_schema::peer::Engine,
    rstest::rstest,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Guards against a report whose port is cut to 16 bits and so is taken for one on another engine.
#[rstest]
#[case::valid(80, Some(80))]
#[case::cut_to_another(65_536 + 80, None)]
#[case::zero(0, None)]
fn port_of_a_report_is_in_range(#[case] port: u32, #[case] expected: Option<u16>) {
    let address = Ipv4Addr::LOCALHOST.to_bits();
    let engine = Engine {
        address,
        port,
        ..Engine::default()
    };
    let expected = expected.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    assert_eq!(reports::address(&engine), expected);
}

/// Guards against times, positions and limits of a report that overflow, or mean nothing, later.
#[rstest]
#[case::no_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-1.0)]
fn largest_numbers_of_a_report_are_bounded(#[case] limit: f64) {
    let engine = Engine {
        closes_in_ms: u64::MAX,
        sent_ms: u64::MAX,
        valid_ms: u32::MAX,
        position: u32::MAX,
        group_size: u32::MAX,
        audience: u32::MAX,
        remote: true,
        round: u64::MAX,
        pace: u32::MAX,
        limit: Some(limit),
        ..Engine::default()
    };
    let now = Instant::now();
    let report = reports::decode(&engine, 1, 0, now);
    assert_eq!(report.limit, None);
    assert!(
        report
            .closes_at
            .is_some_and(|at| at <= now + Duration::from_secs(86_400))
    );
    let largest = u32::MAX as usize;
    let place = Place {
        index: largest,
        hosts: largest,
    };
    assert_eq!(report.place, place);
}
