//! Model of many hosts that share the limit of one engine, with answers but without reports.

use {
    jayspread_core::engine::{Limit, Place},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
/// Time until the answer to a request.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Time after which the limit binds.
const SETTLING_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const SUBJECT: u64 = 7;

/// Time in which all hosts send as much as they may, while the engine names `rate`; returns the
/// times of the requests. The answers are applied in order.
fn send(
    limits: &mut [Limit],
    rate: Option<f64>,
    start: Instant,
    duration: Duration,
) -> Vec<Instant> {
    let hosts = limits.len();
    let mut answers: Vec<(usize, Instant)> = Vec::new();
    let mut requests = Vec::new();
    let mut now = start;
    while now < start + duration {
        answers.retain(|(index, sent_at)| {
            let arrived = now >= *sent_at + ANSWER_TIME;
            if arrived {
                limits[*index].apply_answer(rate, *sent_at, now);
            }
            !arrived
        });
        for (index, limit) in limits.iter_mut().enumerate() {
            let place = Place { index, hosts };
            if limit.wait(place, SUBJECT, false, now).is_zero() {
                limit.record_request(place, now);
                answers.push((index, now));
                requests.push(now);
            }
        }
        now += STEP;
    }
    requests
}

/// Guards against shares that add up to more than the limit, and against hosts that never learn
/// that it has ended.
#[rstest]
fn hosts_together_stay_within_the_limit_and_return_after_it(
    #[values(1, 3, 9, 148)] hosts: usize,
    #[values(0.0, 0.1, 0.3, 1.0, 1.9, 5.0, 40.0)] rate: f64,
) {
    let start = Instant::now();
    let mut limits = vec![Limit::default(); hosts];
    for limit in &mut limits {
        limit.apply_answer(Some(rate), start, start);
    }
    let requests = send(&mut limits, Some(rate), start, Duration::from_secs(30));
    let allowed = rate * WINDOW.as_secs_f64() * 1.5 + 5.0;
    for first in requests.iter().filter(|at| **at >= start + SETTLING_TIME) {
        let in_window = requests
            .iter()
            .filter(|at| *at >= first && **at < *first + WINDOW);
        let count = in_window.count() as f64;
        assert!(
            count <= allowed,
            "{count} requests in a window, {allowed} allowed"
        );
    }
    let used = requests.len() as f64 / 30.0;
    assert!(used >= rate * 0.7, "{used} requests a second");
    let end = start + Duration::from_secs(30);
    let turns = Duration::from_secs(2) * hosts as u32 + WINDOW * 2;
    send(&mut limits, None, end, turns);
    let limited = limits.iter().filter(|limit| limit.rate().is_some()).count();
    assert_eq!(limited, 0, "hosts that still keep to the limit");
}

/// What an answer says about a limit, or a report that an agent sent some time after the limit.
#[derive(Debug, Clone, Copy)]
enum News {
    AnswerTo(u64),
    ReportSentAt(u64),
}

/// Guards against an older answer or report that takes back a limit. The limit was named at 1,000
/// ms.
#[rstest]
#[case::earlier_request(true, News::AnswerTo(900), true)]
#[case::later_request(true, News::AnswerTo(1_100), false)]
#[case::state_read_before_the_limit(true, News::ReportSentAt(1_100), true)]
#[case::later_report(true, News::ReportSentAt(1_400), false)]
#[case::reports_that_never_name_it(false, News::ReportSentAt(1_400), true)]
fn only_what_is_newer_ends_a_limit(
    #[case] in_reports: bool,
    #[case] news: News,
    #[case] is_kept: bool,
) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = Limit::default();
    if in_reports {
        limit.apply_report(Some(1.0), at(0));
    }
    limit.apply_answer(Some(1.0), at(990), at(1_000));
    match news {
        News::AnswerTo(sent_ms) => limit.apply_answer(None, at(sent_ms), at(1_500)),
        News::ReportSentAt(sent_ms) => limit.apply_report(None, at(sent_ms)),
    };
    assert_eq!(limit.rate().is_some(), is_kept);
}

/// Guards against a host without a share that waits for ever for reports of an agent that is gone.
#[rstest]
#[case::reports_arrive(true, false)]
#[case::agent_is_gone(false, true)]
fn host_without_a_share_takes_its_turn_if_no_reports_arrive(
    #[case] reports_arrive: bool,
    #[case] takes_turn: bool,
) {
    let start = Instant::now();
    let mut limit = Limit::default();
    limit.apply_report(Some(0.3), start);
    let without_share = (0..3)
        .map(|index| Place { index, hosts: 3 })
        .find(|place| !limit.wait(*place, SUBJECT, true, start).is_zero());
    let place = without_share.expect("one request for three hosts");
    let later = start + Duration::from_secs(60);
    let wait = limit.wait(place, SUBJECT, reports_arrive, later);
    assert_eq!(wait.is_zero(), takes_turn);
}
