//! Tests of blaming and quarantining prompt parts that crash engines.

use {
    jayspread_core::quarantine::{Change, Ledger, Part, Statement, Verdict, crash, part},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const CONFIRMATION: Duration = Duration::from_millis(300);
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A time that leaves room for ages before it.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(100_000)
}

fn accepts(ledger: &mut Ledger, parts: &[Part], now: Instant) -> bool {
    ledger.check(parts, |_| 1_000, now) == Verdict::Accept
}

/// Records crashes of `parts` at the instances in `engines`.
fn crash_on(ledger: &mut Ledger, parts: &[Part], engines: std::ops::Range<u32>, now: Instant) {
    for engine in engines {
        ledger.record_crash(parts, crash(&format!("i-{engine}"), None), now);
    }
}

fn statement(part: Part, engines: &[&str], completed: Option<Duration>) -> Statement {
    Statement {
        part,
        crashes: engines
            .iter()
            .map(|engine| (crash(engine, None), Duration::ZERO))
            .collect(),
        completed,
    }
}

/// What a ledger knows of its suspect parts.
fn view(ledger: &Ledger, now: Instant) -> Vec<Statement> {
    let mut statements = ledger.statements(usize::MAX, now + CONFIRMATION);
    for (_, age) in statements.iter_mut().flat_map(|known| &mut known.crashes) {
        *age -= CONFIRMATION;
    }
    statements
}

/// Guards against serving a part that ended three engines, and against refusing it before other
/// hosts could object.
#[test]
fn crashing_part_is_still_served_after_three_instances() {
    let now = start();
    let mut ledger = Ledger::default();
    let bad = part("bad");
    crash_on(&mut ledger, &[bad], 0..2, now);
    assert!(accepts(&mut ledger, &[bad], now + ms(5_000)), "two crashes");
    let third = now + ms(5_000);
    crash_on(&mut ledger, &[bad], 2..3, third);
    assert!(accepts(&mut ledger, &[bad], third + ms(299)));
    let verdict = ledger.check(&[part("other"), bad], |_| 1_000, third + CONFIRMATION);
    assert!(matches!(verdict, Verdict::Refuse { part, .. } if part == bad));
    assert_eq!(
        ledger.changes(third + CONFIRMATION),
        [Change::Quarantined(bad)]
    );
    assert_eq!(ledger.changes(third + CONFIRMATION), []);
}

/// Guards against blaming the sound parts of requests that ran on the engines that ended.
#[rstest]
#[case::three_shared_crashes(3)]
#[case::four_shared_crashes(4)]
#[case::five_shared_crashes(5)]
fn sound_neighbour_is_blamed(#[case] shared: u32) {
    let mut now = start();
    let mut ledger = Ledger::default();
    let (bad, first, rare) = (part("bad"), part("first"), part("rare"));
    ledger.record_completion(&[first], now);
    for engine in 0..6 {
        now += ms(100);
        let engine_id = format!("i-{engine}");
        if engine < shared {
            ledger.record_crash(&[first, rare], crash(&engine_id, None), now);
        }
        ledger.record_crash(&[first, bad], crash(&engine_id, None), now);
    }
    now += CONFIRMATION;
    assert_eq!(ledger.quarantined(now).collect::<Vec<_>>(), [bad]);
    assert!(accepts(&mut ledger, &[first, rare], now));
    assert!(!accepts(&mut ledger, &[first, bad], now));
}

/// Guards against counting the connections or retries that one crash breaks as several crashes.
#[test]
fn retries_on_one_instance_count_more_than_once() {
    let now = start();
    let mut ledger = Ledger::default();
    let bad = part("bad");
    for _ in 0..10 {
        ledger.record_crash(&[bad, bad], crash("i-1", None), now);
        ledger.record_crash(&[bad], crash("i-2", None), now);
    }
    assert!(accepts(&mut ledger, &[bad], now + ms(1_000)));
}

/// Guards against blaming popular parts when the engines of a region end for another reason.
#[test]
fn completed_part_is_quarantined_when_a_region_ends() {
    let now = start();
    let mut ledger = Ledger::default();
    let popular = part("popular");
    ledger.record_completion(&[popular], now);
    let crashed_at = now + ms(29_000);
    crash_on(&mut ledger, &[popular], 0..100, crashed_at);
    assert!(accepts(&mut ledger, &[popular], crashed_at + CONFIRMATION));
    assert_eq!(ledger.news(100, crashed_at), [], "no traffic either");
    // After the memory of the completion the crashes count.
    let late = now + ms(30_000);
    crash_on(&mut ledger, &[popular], 100..103, late);
    assert!(!accepts(&mut ledger, &[popular], late + CONFIRMATION));
}

/// Guards against a host that has just started, and knows no completions, refusing a popular part.
#[test]
fn started_host_that_hears_only_crashes_refuses_popular_part() {
    let now = start();
    let (mut old, mut young) = (Ledger::default(), Ledger::default());
    let popular = part("popular");
    old.record_completion(&[popular], now);
    assert_eq!(old.news(10, now), [], "nobody suspects the part");
    let crashes = statement(popular, &["i-1", "i-2", "i-3"], None);
    young.merge(&crashes, now);
    let news = young.news(10, now + ms(100));
    assert_eq!(news.len(), 1);
    old.merge(&news[0], now + ms(100));
    let answer = old.news(10, now + ms(200));
    assert_eq!(answer.len(), 1);
    assert_eq!(answer[0].crashes, []);
    assert_eq!(answer[0].completed, Some(ms(200)));
    assert!(young.merge(&answer[0], now + ms(299)));
    assert!(accepts(&mut young, &[popular], now + ms(300)));
    assert!(accepts(&mut young, &[popular], now + ms(10_000)));
    // The crashes do not come back.
    assert!(!young.merge(&crashes, now + ms(400)));
    assert!(accepts(&mut young, &[popular], now + ms(10_000)));
}

/// Guards against an answer that only hosts receive which do not need it: it must travel on.
#[test]
fn completion_is_not_passed_on_by_a_host_that_knows_a_newer_one() {
    let now = start();
    let popular = part("popular");
    let mut ledger = Ledger::default();
    ledger.record_completion(&[popular], now);
    let answer = statement(popular, &[], Some(ms(50)));
    assert!(ledger.merge(&answer, now));
    assert_eq!(ledger.news(10, now).len(), 1);
    assert!(!ledger.merge(&answer, now + ms(20)), "but only once");
}

/// Guards against a mistaken quarantine that outlives a completed answer, own or stated.
#[rstest]
#[case::own(false)]
#[case::stated(true)]
fn completion_does_not_lift_a_quarantine(#[case] stated: bool) {
    let now = start();
    let mut ledger = Ledger::default();
    let sound = part("sound");
    crash_on(&mut ledger, &[sound], 0..7, now);
    let later = now + ms(1_000);
    assert!(!accepts(&mut ledger, &[sound], later));
    assert_eq!(ledger.changes(later), [Change::Quarantined(sound)]);
    if stated {
        ledger.merge(&statement(sound, &[], Some(ms(10))), later);
    } else {
        ledger.record_completion(&[sound], later);
    }
    assert!(accepts(&mut ledger, &[sound], later));
    assert_eq!(ledger.changes(later), [Change::Cleared(sound)]);
    assert_eq!(ledger.news(10, later).len(), 1, "other hosts are told");
}

/// Guards against probes by several hosts, too often, or as often of a part that certainly crashes
/// engines.
#[test]
fn probes_exceed_one_each_interval() {
    let now = start();
    let mut ledger = Ledger::default();
    let bad = part("bad");
    crash_on(&mut ledger, &[bad], 0..3, now);
    let quarantined_at = now + CONFIRMATION;
    let mut probes = Vec::new();
    for step in 0..1_600 {
        let at = quarantined_at + ms(10) * step;
        assert!(matches!(
            ledger.check(&[bad], |_| 1_000, at),
            Verdict::Refuse { .. }
        ));
        if ledger.check(&[bad], |part| u32::from(part != bad), at) == Verdict::Probe {
            probes.push(at - quarantined_at);
        }
    }
    assert_eq!(
        probes,
        [PROBE_INTERVAL, PROBE_INTERVAL * 2, PROBE_INTERVAL * 3]
    );
    let later = quarantined_at + ms(16_000);
    crash_on(&mut ledger, &[bad], 3..5, later);
    let mut probes = Vec::new();
    for step in 0..480 {
        let at = later + ms(1_000) * step;
        match ledger.check(&[bad], |_| 0, at) {
            Verdict::Probe => probes.push((at - later).as_secs()),
            Verdict::Refuse { .. } => {}
            Verdict::Accept => panic!("accepted without a completion"),
        }
    }
    assert_eq!(
        probes,
        [240],
        "the interval doubled with both failed probes"
    );
}

/// Guards against a second host that probes a part although the probe of the first has just failed.
#[test]
fn hosts_probe_the_same_part_at_once() {
    let now = start();
    let (mut first, mut second) = (Ledger::default(), Ledger::default());
    let bad = part("bad");
    for ledger in [&mut first, &mut second] {
        crash_on(ledger, &[bad], 0..6, now);
    }
    let probed = now + ms(60_300);
    assert_eq!(first.check(&[bad], |_| 0, probed), Verdict::Probe);
    assert!(matches!(
        second.check(&[bad], |_| 1, probed + ms(1_900)),
        Verdict::Refuse { .. }
    ));
    crash_on(&mut first, &[bad], 6..7, probed + ms(100));
    for statement in first.news(10, probed + ms(200)) {
        assert!(second.merge(&statement, probed + ms(300)));
    }
    for second_after in 0..119 {
        let at = probed + ms(1_000) * second_after;
        let verdict = second.check(&[bad], |_| 0, at);
        assert!(
            matches!(verdict, Verdict::Refuse { .. }),
            "{second_after} s"
        );
    }
}

/// Guards against a probe of a part that was blamed by mistake with a request that holds the part
/// which is to blame.
#[test]
fn probe_of_a_sound_part_holds_the_crashing_part() {
    let now = start();
    let mut ledger = Ledger::default();
    let (first, bad) = (part("first"), part("bad"));
    crash_on(&mut ledger, &[first, bad], 0..3, now);
    let later = now + ms(10_000);
    let blamed: Vec<_> = ledger.quarantined(later).collect();
    assert_eq!(blamed.len(), 1, "one of the two explains the crashes");
    let verdict = ledger.check(&[first, bad], |_| 0, later);
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
    assert_eq!(ledger.check(&blamed, |_| 0, later), Verdict::Probe);
}

/// Guards against a host that was out of reach when a part was quarantined, and is never told.
#[test]
fn host_that_missed_the_news_is_not_told() {
    let now = start();
    let mut informed = Ledger::default();
    let bad = part("bad");
    crash_on(&mut informed, &[bad], 0..40, now);
    let later = now + ms(5_000);
    while !informed.news(10, later).is_empty() {}
    let mut returned = Ledger::default();
    crash_on(&mut returned, &[bad], 50..51, later);
    for statement in returned.news(10, later) {
        informed.merge(&statement, later);
    }
    let answer = informed.news(10, later + ms(100));
    assert_eq!(answer.len(), 1);
    returned.adopt(&answer, later + ms(200));
    assert!(!accepts(
        &mut returned,
        &[bad],
        later + ms(200) + CONFIRMATION
    ));
}

/// Guards against a quarantine without end, and a wrong statement of its end.
#[test]
fn quarantine_outlives_its_crashes() {
    let now = start();
    let mut ledger = Ledger::default();
    let bad = part("bad");
    for engine in 0..6 {
        crash_on(
            &mut ledger,
            &[bad],
            engine..engine + 1,
            now + ms(1_000) * engine,
        );
    }
    // With the fourth crash gone two are left.
    let end = now + ms(3_000) + QUARANTINE_TIME;
    let Verdict::Refuse { retry_after, .. } = ledger.check(&[bad], |_| 0, now + ms(10_000)) else {
        panic!("not refused");
    };
    assert_eq!(retry_after, end - (now + ms(10_000)));
    assert!(!accepts(&mut ledger, &[bad], end - ms(2_000)));
    assert!(accepts(&mut ledger, &[bad], end + ms(1_000)));
    assert_eq!(ledger.quarantined(end + ms(1_000)).count(), 0);
}

/// Guards against hosts that decide differently because they heard the same statements in another
/// order, or more than once.
#[test]
fn order_of_statements_changes_the_result() {
    let now = start();
    let (bad, cleared) = (part("bad"), part("cleared"));
    let mut statements = [
        statement(bad, &["i-1", "i-2"], None),
        statement(bad, &["i-2", "i-3", "i-4"], None),
        statement(cleared, &["i-1", "i-2", "i-3", "i-4", "i-5"], None),
        statement(cleared, &[], Some(ms(20_000))),
        statement(bad, &["i-5"], Some(ms(40_000))),
    ];
    statements[1].crashes[0].1 = ms(700);
    let merge_all = |order: &[usize]| {
        let mut ledger = Ledger::default();
        for index in order {
            ledger.merge(&statements[*index], now);
        }
        view(&ledger, now)
    };
    let expected = merge_all(&[0, 1, 2, 3, 4]);
    assert_eq!(expected.len(), 1);
    assert_eq!(expected[0].crashes.len(), 5);
    assert!(expected[0].crashes.contains(&(crash("i-2", None), ms(700))));
    for order in [
        [4, 3, 2, 1, 0].as_slice(),
        &[3, 0, 4, 2, 1],
        &[2, 4, 0, 3, 1],
        &[0, 1, 2, 3, 4, 0, 1, 2, 3, 4],
        &[1, 1, 3, 2, 2, 3, 0, 4, 0, 2],
    ] {
        assert_eq!(merge_all(order), expected, "order {order:?}");
    }
}

/// Guards against crashes that become younger, or older, as hosts pass them on.
#[test]
fn ages_drift_when_a_statement_travels() {
    let begin = start();
    let mut now = begin;
    let bad = part("bad");
    let mut host = Ledger::default();
    crash_on(&mut host, &[bad], 0..3, now);
    for _ in 0..10 {
        now += ms(100);
        let news = host.news(1, now);
        let mut next = Ledger::default();
        assert!(next.merge(&news[0], now));
        // The same news from a slower host, which takes it for younger.
        assert!(!next.merge(&news[0], now + ms(40)));
        host = next;
    }
    assert_eq!(view(&host, now)[0].crashes.len(), 3);
    for (_, age) in &view(&host, now)[0].crashes {
        assert_eq!(*age, now - begin);
    }
}

/// Guards against finding only one of two parts that crash engines at the same time.
#[test]
fn second_crashing_part_is_missed() {
    let mut now = start();
    let mut ledger = Ledger::default();
    let (one, two, rare) = (part("one"), part("two"), part("rare"));
    for engine in 0..4 {
        now += ms(50);
        ledger.record_crash(&[one], crash(&format!("i-a{engine}"), None), now);
        ledger.record_crash(&[rare], crash(&format!("i-a{engine}"), None), now);
        ledger.record_crash(&[two], crash(&format!("i-b{engine}"), None), now);
        if engine < 2 {
            ledger.record_crash(&[rare], crash(&format!("i-b{engine}"), None), now);
            // More shared engines than `one` has in all, but fewer once its crashes are explained.
            ledger.record_crash(&[one], crash(&format!("i-b{engine}"), None), now);
        }
    }
    now += ms(1_000);
    ledger.record_crash(&[two], crash("i-b4", None), now);
    now += ms(1_000);
    assert!(!accepts(&mut ledger, &[one], now));
    assert!(!accepts(&mut ledger, &[two], now));
    assert!(accepts(&mut ledger, &[rare], now), "explained by the two");
}

/// Guards against a crash, or unbounded memory or messages, on input from the network.
#[test]
fn hostile_statements_are_not_survived() {
    let now = start();
    let mut ledger = Ledger::default();
    for number in 0..20_000 {
        ledger.merge(
            &Statement {
                part: number,
                crashes: (0..5).map(|crash| (crash + number, ms(crash))).collect(),
                completed: (number % 3 == 0).then_some(Duration::MAX),
            },
            now,
        );
    }
    let large = Statement {
        part: 7,
        crashes: (0..100_000)
            .map(|crash| (crash % 5_000, Duration::MAX / (1 + crash as u32)))
            .chain((0..100_000).map(|crash| (crash, ms(crash % 100))))
            .collect(),
        completed: Some(Duration::MAX),
    };
    assert!(
        !ledger.merge(&large, now),
        "the first ages exceed the clock"
    );
    for offset in 0..50 {
        let crashes = (0..20).map(|crash| (offset * 20 + crash, ms(1))).collect();
        let part = 7;
        let completed = None;
        ledger.merge(
            &Statement {
                part,
                crashes,
                completed,
            },
            now,
        );
    }
    let all = ledger.news(usize::MAX, now);
    assert!(all.len() <= 8_192);
    assert!(all.iter().all(|statement| statement.crashes.len() <= 32));
    assert_eq!(ledger.news(16, now).len(), 16);
    ledger.expire(now + QUARANTINE_TIME + ms(1));
    assert_eq!(ledger.news(usize::MAX, now + QUARANTINE_TIME), []);
}

/// Guards against completions of parts nobody suspects that become messages, or fill the memory so
/// that a suspicion is lost.
#[test]
fn completions_cause_traffic_or_displace_crashes() {
    let now = start();
    let mut ledger = Ledger::default();
    let bad = part("bad");
    crash_on(&mut ledger, &[bad], 0..3, now);
    while !ledger.news(10, now).is_empty() {}
    for number in 0..50_000 {
        ledger.record_completion(&[number], now + ms(number / 100));
    }
    assert_eq!(ledger.news(10, now + ms(500)), []);
    assert!(!accepts(&mut ledger, &[bad], now + ms(500)));
}

/// Guards against a host that has just started and sends a part to engines, although the host it asked
/// has quarantined that part; and against one that adopts a blame which its own records refute.
#[test]
fn started_host_serves_a_quarantined_part() {
    let now = start();
    let mut old = Ledger::default();
    let (bad, sound) = (part("bad"), part("sound"));
    crash_on(&mut old, &[bad], 0..6, now);
    crash_on(&mut old, &[sound], 10..16, now);
    assert_eq!(old.statements(10, now), [], "not yet confirmed");
    let later = now + ms(2_000);
    let statements = old.statements(10, later);
    assert_eq!(statements.len(), 2);
    let mut young = Ledger::default();
    young.record_completion(&[sound], later);
    young.adopt(&statements, later);
    assert!(!accepts(&mut young, &[bad], later));
    assert!(accepts(&mut young, &[sound], later + CONFIRMATION));
    for second in 1..60 {
        let verdict = young.check(&[bad], |_| 0, later + ms(1_000) * second);
        assert!(
            matches!(verdict, Verdict::Refuse { .. }),
            "after {second} s"
        );
    }
}

/// Guards against blaming sound parts for the crashes that happen before a quarantine takes effect.
#[test]
fn crashes_after_the_first_ones_are_unexplained() {
    let now = start();
    let mut ledger = Ledger::default();
    let (bad, rare) = (part("bad"), part("rare"));
    crash_on(&mut ledger, &[bad], 0..20, now);
    crash_on(&mut ledger, &[rare], 0..20, now + ms(10));
    crash_on(&mut ledger, &[bad], 20..25, now + ms(20));
    let later = now + ms(1_000);
    assert_eq!(ledger.quarantined(later).collect::<Vec<_>>(), [bad]);
}
