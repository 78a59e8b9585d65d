//! Tests that facts about an engine hold for one process of it only.

mod engines;

use engines::{Fixture, listing};

// Guards against hosts that pass on "leaving" to an engine that has started again under its id.
#[test]
fn late_news_of_leaving_does_not_mark_the_next_process() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    let mut restarted = listing("a", 1, "r1");
    restarted.started_ms = Some(2);
    fixture.table.add_listing(restarted, fixture.now);
    assert!(!fixture.table.set_instance_leaving("a", Some(1)));
    assert!(!fixture.table.set_instance_leaving("a", None));
    assert_eq!(fixture.choose().as_deref(), Ok("a"));
    assert_eq!(fixture.table.announced_leaving().count(), 0);
}

#[test]
fn news_of_leaving_marks_the_process_that_it_names() {
    let mut fixture = Fixture::new(&[("a", "r1")]);
    assert!(fixture.table.set_instance_leaving("a", Some(1)));
    assert!(!fixture.table.set_instance_leaving("a", Some(1)), "known");
    assert!(fixture.choose().is_err());
    let announced: Vec<_> = fixture.table.announced_leaving().collect();
    assert_eq!(announced, [(&"a".into(), Some(1))]);
}
