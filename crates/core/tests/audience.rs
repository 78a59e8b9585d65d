//! Tests of selecting the entry hosts that an engine serves, and of dividing limits among hosts.

use {
    jayspread_core::{
        audience::{Audience, REGIONAL_SIZE, REMOTE_SIZE, View, share},
        id::{Host, Region},
    },
    rstest::rstest,
    std::collections::{BTreeMap, BTreeSet},
};

/// Entry hosts of regions `r0`, `r1` and so on.
fn entry_hosts(sizes: &[usize]) -> BTreeMap<Region, Vec<Host>> {
    let names = |region: usize, size: usize| {
        let names = (0..size).map(|n| format!("edge-{region}-{n:03}").into());
        names.collect()
    };
    let regions = sizes.iter().enumerate();
    regions
        .map(|(region, size)| (format!("r{region}").into(), names(region, *size)))
        .collect()
}

/// Audiences of all engines of region `r0`.
fn audiences(
    entry_hosts: &BTreeMap<Region, Vec<Host>>,
    engines: usize,
    stranded: &[&str],
) -> Vec<Audience> {
    let stranded: BTreeSet<Region> = stranded
        .iter()
        .map(|region| Region::from(*region))
        .collect();
    let select = |engine| {
        Audience::select(&View {
            region: "r0",
            engine,
            engines,
            entry_hosts,
            stranded: &stranded,
            serving_regions: entry_hosts.len() - stranded.len(),
        })
    };
    (0..engines).map(select).collect()
}

/// Number of engines that serve each host of a region.
fn coverage<'a>(hosts: &[Host], groups: impl Iterator<Item = &'a Vec<Host>>) -> Vec<usize> {
    let groups: Vec<&Vec<Host>> = groups.collect();
    let count = |host: &Host| groups.iter().filter(|group| group.contains(host)).count();
    hosts.iter().map(count).collect()
}

#[rstest]
#[case::small(3, 4)]
#[case::large(30, 24)]
#[case::more_engines(6, 45)]
#[case::more_hosts(200, 24)]
fn hosts_of_a_region_have_equal_capacity(#[case] hosts: usize, #[case] engines: usize) {
    let entry_hosts = entry_hosts(&[hosts, hosts]);
    let audiences = audiences(&entry_hosts, engines, &[]);
    let primary = coverage(&entry_hosts["r0"], audiences.iter().map(|a| &a.primary));
    let secondary = coverage(&entry_hosts["r1"], audiences.iter().map(|a| &a.secondary));
    for covered in [&primary, &secondary] {
        let (least, most) = (covered.iter().min(), covered.iter().max());
        let spread = most.expect("hosts") - least.expect("hosts");
        assert!(spread <= 1, "{covered:?}");
    }
}

#[test]
fn number_of_hosts_does_not_grow_with_the_region() {
    for size in [6, 30, 100, 300] {
        for audience in audiences(&entry_hosts(&[size; 5]), 24, &[]) {
            assert_eq!(audience.primary.len(), REGIONAL_SIZE);
            assert_eq!(audience.secondary.len(), 4 * REMOTE_SIZE);
        }
    }
}

/// A region is evacuated. Its callers depend on the engines of the other regions, which give its hosts
/// about the capacity that their own region would have given them.
#[test]
fn hosts_of_a_stranded_region_share_like_regional_ones() {
    let entry_hosts = entry_hosts(&[30; 5]);
    let audiences = audiences(&entry_hosts, 24, &["r3"]);
    let is_stranded = |host: &Host| host.starts_with("edge-3-");
    for audience in &audiences {
        assert!(!audience.secondary.iter().any(is_stranded));
    }
    let primary = coverage(&entry_hosts["r3"], audiences.iter().map(|a| &a.primary));
    // Four regions serve it, each with 24 engines.
    let engines: f64 = 4.0 * primary.iter().sum::<usize>() as f64 / 30.0;
    assert!(engines >= 24.0 * REGIONAL_SIZE as f64 / 30.0, "{engines}");
}

#[test]
fn engine_of_a_region_without_entry_hosts_serves_the_others() {
    let mut entry_hosts = entry_hosts(&[3, 3]);
    entry_hosts.remove("r0");
    let audience = &audiences(&entry_hosts, 1, &[])[0];
    assert_eq!(audience.primary.len(), REMOTE_SIZE);
    assert!(audience.secondary.is_empty());
}

#[rstest]
fn shares_add_up_to_the_limit(
    #[values(0.0, 1.0, 15.0, 15.9, 400.0)] limit: f64,
    #[values(1, 9, 148)] hosts: usize,
    #[values(0, 7, u64::MAX)] subject: u64,
) {
    let shares = (0..hosts).map(|index| share(limit, index, hosts, subject));
    assert_eq!(shares.sum::<u32>(), limit as u32);
}
