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

/// A limit below one request for each host, and the subject for which the last of three or nine
/// hosts has the only request.
const LOW_RATE: f64 = 0.3;
const LOW_SUBJECT: u64 = 1;

/// Guards against hosts that wait for the turns of others which are not there, and against all of
/// them sending at once when they count fewer.
#[rstest]
#[case::first_host(0, 7, 2)]
#[case::second_host(1, 7, 4)]
#[case::just_had_its_turn(0, 1, 5)]
fn turns_of_fewer_hosts_come_sooner_and_one_by_one(
    #[case] index: usize,
    #[case] age_s: u64,
    #[case] wait_s: u64,
) {
    let start = Instant::now();
    let mut limit = Limit::default();
    limit.apply_answer(Some(LOW_RATE), start, start);
    let nine = Place { index, hosts: 9 };
    let turn_at = start + limit.wait(nine, LOW_SUBJECT, false, start);
    limit.record_request(nine, turn_at);
    let three = Place { index, hosts: 3 };
    let later = turn_at + Duration::from_secs(age_s);
    let wait = Duration::from_secs(wait_s);
    assert_eq!(limit.wait(three, LOW_SUBJECT, false, later), wait);
}

/// Guards against news of an end that are older than the limit, or are followed more than once. The
/// limit was named at 1,000 ms; the news come again and again from 60 s on.
#[rstest]
#[case::older_than_the_limit(900, 0)]
#[case::newer(50_000, 1)]
fn news_of_an_end_let_each_host_ask_once(#[case] ended_ms: u64, #[case] requests: usize) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (index, hosts) = (100, 148);
    let place = Place { index, hosts };
    let mut limit = Limit::default();
    limit.apply_answer(Some(LOW_RATE), at(990), at(1_000));
    let mut sent = 0;
    for step in 0..200 {
        let now = at(60_000 + 10 * step);
        limit.wait(place, LOW_SUBJECT, false, now);
        limit.hear_end(at(ended_ms), now);
        if limit.wait(place, LOW_SUBJECT, false, now).is_zero() {
            limit.record_request(place, now);
            sent += 1;
        }
    }
    assert_eq!(sent, requests);
    assert_eq!(limit.ended_at(at(62_000)), None, "only answers are told on");
}

/// Guards against a large fleet in which hosts without a share use an engine again minutes after the
/// end of its limit. Each host exchanges what it knows with one other in a round; answers that are
/// under way at the end of a round are lost.
#[rstest]
fn all_hosts_learn_soon_of_the_end_of_a_limit(#[values(3, 9, 148)] hosts: usize) {
    let round = Duration::from_millis(500);
    let start = Instant::now();
    let mut limits = vec![Limit::default(); hosts];
    for limit in &mut limits {
        limit.apply_answer(Some(LOW_RATE), start, start);
    }
    send(&mut limits, Some(LOW_RATE), start, Duration::from_secs(30));
    let mut now = start + Duration::from_secs(30);
    for number in 0..24 {
        send(&mut limits, None, now, round);
        now += round;
        for index in 0..hosts {
            let other = (31 * index + 17 * number + 1) % hosts;
            for (from, to) in [(index, other), (other, index)] {
                if let Some(ended_at) = limits[from].ended_at(now) {
                    limits[to].hear_end(ended_at, now);
                }
            }
        }
    }
    let limited = limits.iter().filter(|limit| limit.rate().is_some()).count();
    assert_eq!(limited, 0, "hosts that still keep to the limit after 12 s");
}
