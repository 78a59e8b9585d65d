//! Finds the way of a request in log files: the lines of all processes that it touched, and the cause
//! of its outcome.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
};

/// Events about an engine that matter to the requests sent there.
const ENGINE_EVENTS: [&str; 6] = [
    "engine_ejected",
    "engine_leaving",
    "engine_limit",
    "engine_rests",
    "engine_unlisted",
    "engine_expired",
];
/// Time before and after a request in which events about its engines are shown, seconds.
const ENGINE_WINDOW_S: f64 = 5.0;
/// Number of lines about engines that are kept while the files are read.
const MAX_ENGINE_LINES: usize = 10_000;
/// Number of lines about the request that are kept.
const MAX_LINES: usize = 10_000;

/// A log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Host of the process that wrote it.
    pub host: Box<str>,
    /// Time, as written.
    pub time: Box<str>,
    /// Name of the event.
    pub event: Box<str>,
    /// The line from the event on.
    pub text: Box<str>,
}

impl Line {
    /// Parses a line; `None` if it has no event. A collector may have put the host's name before the
    /// time; otherwise it is `host`.
    pub fn parse(line: &str, host: &str) -> Option<Self> {
        let (prefix, rest) = match line.find("time=") {
            Some(start) => line.split_at(start),
            None => ("", line),
        };
        let text = &rest[rest.find("event=")?..];
        let is_name = |word: &&str| word.parse::<f64>().is_err();
        let host = prefix.split_whitespace().rfind(is_name).unwrap_or(host);
        Some(Self {
            host: host.into(),
            time: value(rest, "time").unwrap_or("").into(),
            event: value(text, "event")?.into(),
            text: text.into(),
        })
    }

    /// Value of a field; `None` if the line does not have it.
    pub fn get(&self, key: &str) -> Option<&str> {
        value(&self.text, key)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time, self.host, self.text)
    }
}

/// Value of `key` in `key=value` pairs; a value with spaces is quoted.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = text;
    loop {
        let start = rest.find(key)?;
        let is_word = start == 0 || rest.as_bytes()[start - 1] == b' ';
        let after = &rest[start + key.len()..];
        if let Some(value) = after.strip_prefix('=').filter(|_| is_word) {
            return match value.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next(),
                None => value.split(' ').next().map(str::trim_end),
            };
        }
        rest = after;
    }
}

/// Seconds since midnight of a time as the logs write it, `2026-05-21T05:16:16.811Z`.
fn seconds(time: &str) -> Option<f64> {
    let (_, time_of_day) = time.split_once('T')?;
    let parts = time_of_day.trim_end_matches('Z').split(':');
    let parts: Vec<f64> = parts.map_while(|part| part.parse().ok()).collect();
    let [hours, minutes, seconds] = parts[..] else {
        return None;
    };
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

/// What to look for; all given criteria must hold.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Id of a request.
    pub request: Option<Box<str>>,
    /// Id of an engine.
    pub engine: Option<Box<str>>,
    /// Name of a host.
    pub host: Option<Box<str>>,
    /// First and last time, compared as text.
    pub between: Option<(Box<str>, Box<str>)>,
}

impl Filter {
    fn matches(&self, line: &Line) -> bool {
        let has = |key: &str, wanted: &Option<Box<str>>| {
            wanted.as_deref().is_none_or(|w| line.get(key) == Some(w))
        };
        let of_host = self.host.as_deref().is_none_or(|host| *line.host == *host);
        let in_time = self
            .between
            .as_ref()
            .is_none_or(|(first, last)| line.time >= *first && line.time <= *last);
        has("request", &self.request) && has("engine", &self.engine) && of_host && in_time
    }
}

/// Lines that match a filter, gathered from log files line by line.
#[derive(Debug, Default)]
pub struct Search {
    filter: Filter,
    lines: Vec<Line>,
    engine_lines: VecDeque<Line>,
    dropped: usize,
}

impl Search {
    /// Starts a search.
    pub fn new(filter: Filter) -> Self {
        Self {
            filter,
            ..Self::default()
        }
    }

    /// Adds a line of a log file; `host` is used if the line does not name its host.
    pub fn add(&mut self, line: &str, host: &str) {
        let Some(line) = Line::parse(line, host) else {
            return;
        };
        if self.filter.matches(&line) {
            if self.lines.len() < MAX_LINES {
                self.lines.push(line);
            } else {
                self.dropped += 1;
            }
        } else if self.filter.request.is_some() && ENGINE_EVENTS.contains(&&*line.event) {
            if self.engine_lines.len() == MAX_ENGINE_LINES {
                self.engine_lines.pop_front();
            }
            self.engine_lines.push_back(line);
        }
    }

    /// Ends the search. The lines are in the order of their times; those of a request include what
    /// the same hosts logged about the engines that it was sent to.
    pub fn finish(mut self) -> Report {
        let cause = self.filter.request.is_some().then(|| cause(&self.lines));
        let engines: BTreeSet<Box<str>> = self
            .lines
            .iter()
            .filter_map(|line| line.get("engine").map(Into::into))
            .collect();
        let hosts: BTreeSet<Box<str>> = self.lines.iter().map(|line| line.host.clone()).collect();
        let ends = self.lines.iter().filter_map(|line| seconds(&line.time));
        let (first, last) = ends.fold((f64::MAX, f64::MIN), |(first, last), time| {
            (first.min(time), last.max(time))
        });
        let concerns = |line: &Line| {
            let engine = line.get("engine");
            let is_near = seconds(&line.time).is_some_and(|time| {
                time >= first - ENGINE_WINDOW_S && time <= last + ENGINE_WINDOW_S
            });
            is_near
                && hosts.contains(&line.host)
                && engine.is_some_and(|engine| engines.contains(engine))
        };
        self.lines
            .extend(self.engine_lines.into_iter().filter(concerns));
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Report {
            lines: self.lines,
            dropped: self.dropped,
            cause,
        }
    }
}

/// Result of a search.
#[derive(Debug)]
pub struct Report {
    /// Matching lines by time.
    pub lines: Vec<Line>,
    /// Number of matching lines beyond the limit.
    pub dropped: usize,
    /// Outcome of the request and its cause, if one was searched for.
    pub cause: Option<Box<str>>,
}

/// Outcome of a request and its cause, from its own lines in the order of the log.
fn cause(lines: &[Line]) -> Box<str> {
    let Some(end) = lines.iter().rev().find(|line| is_end(line)) else {
        return "no process logged its end: it succeeded and is not in the sample, never arrived, or \
                its process ended before it"
            .into();
    };
    let host = &end.host;
    let reason = end.get("reason").unwrap_or("unknown");
    let sent = lines.iter().filter(|line| &*line.event == "sent").count();
    // An engine beside a silent one may have been asked last and not have answered.
    let answering = last_value(lines, "resumed", "engine")
        .or_else(|| last_value(lines, "first_event", "engine"))
        .or_else(|| end.get("engine"));
    let last_engine = answering
        .or_else(|| last_value(lines, "sent", "engine"))
        .unwrap_or("unknown");
    let broke = lines.iter().rfind(|line| &*line.event == "stream_broke");
    match &*end.event {
        "rejected" => format!(
            "{host} rejected it with status {}: {reason}; no engine got it",
            end.get("status").unwrap_or("unknown")
        ),
        "caller_left" => format!("its caller left {} ms after it came", elapsed(end)),
        "caller_unreachable" => format!(
            "the connection to its caller failed {} ms after it came: {reason}",
            elapsed(end)
        ),
        "cut_off" => format!("{host} shut down {} ms after it came", elapsed(end)),
        "panicked" => format!("{host} failed to handle it after {sent} sends: panic: {reason}"),
        "answered" | "streamed" if broke.is_some() => format!(
            "its stream broke and was resumed at {last_engine}; it ended whole after {} ms",
            elapsed(end)
        ),
        "answered" | "streamed" => {
            format!(
                "{last_engine} answered it after {} ms, send {sent}",
                elapsed(end)
            )
        }
        _ if sent == 0 => format!(
            "{host} refused it: {}; no engine got it",
            refusal(lines, reason)
        ),
        _ => failure(lines, last_engine, reason, broke),
    }
    .into()
}

fn is_end(line: &Line) -> bool {
    matches!(
        &*line.event,
        "rejected"
            | "failed"
            | "answered"
            | "streamed"
            | "caller_left"
            | "caller_unreachable"
            | "cut_off"
            | "panicked"
    )
}

fn elapsed(line: &Line) -> &str {
    let taken = line.get("took_ms").or_else(|| line.get("after_ms"));
    taken.unwrap_or("an unknown number of")
}

fn last_value<'a>(lines: &'a [Line], event: &str, key: &str) -> Option<&'a str> {
    let line = lines.iter().rfind(|line| &*line.event == event)?;
    line.get(key)
}

/// Why a request was refused before it was sent.
fn refusal(lines: &[Line], reason: &str) -> String {
    let is_retry = last_value(lines, "received", "caller_retry") == Some("true");
    match reason {
        "busy" if is_retry => {
            "all engines were busy, and it gave way to first tries of other callers".to_owned()
        }
        "shed" if is_retry => {
            "its engines could not take all requests, and it gave way to first tries of other callers"
                .to_owned()
        }
        "shed" => {
            let class = last_value(lines, "failed", "class").unwrap_or("unknown");
            let level = last_value(lines, "failed", "shedding").unwrap_or("unknown");
            format!(
                "its engines could not take all requests, and it gave way to more urgent ones or to \
                 other organisations: class {class}, shedding level {level}"
            )
        }
        "busy" => "no engine that it may use was expected to answer in time".to_owned(),
        "no_engine" => "no listed engine may serve it, by version, region or state".to_owned(),
        "quarantined" => {
            let part = last_value(lines, "quarantined", "part").unwrap_or("unknown");
            match part {
                "request" => "engines crash on a request with its content".to_owned(),
                part => format!("engines crash on part {part} of its prompt"),
            }
        }
        "resting" => "all its engines had asked for a rest".to_owned(),
        other => other.to_owned(),
    }
}

/// Why a request that was sent has failed.
fn failure(lines: &[Line], engine: &str, reason: &str, broke: Option<&Line>) -> String {
    let no_repeat = lines.iter().any(|line| &*line.event == "no_repeat");
    let budget = if no_repeat {
        "; the retry budget was spent"
    } else {
        ""
    };
    if let Some(broke) = broke {
        let cause = broke.get("reason").unwrap_or(reason);
        let last = broke.get("last").unwrap_or("unknown");
        return format!(
            "its stream from {engine} broke ({cause}) after event {last} and no engine resumed it{budget}"
        );
    }
    let missed = last_value(lines, "missed", "reason").unwrap_or(reason);
    let kind = last_value(lines, "received", "kind").unwrap_or("unknown");
    if missed == "withdrawn" {
        return format!(
            "it was withdrawn from {engine}, which had not begun it shortly before work on its version had to end, and no other engine took it{budget}"
        );
    }
    if missed.starts_with("lost") || missed == "late" {
        let repeat = if kind == "Once" {
            "; it must not be sent twice"
        } else {
            budget
        };
        return format!(
            "{engine} got it and gave no usable response ({missed}): it may have run{repeat}"
        );
    }
    format!("{engine} did not run it ({missed}), and no other engine took it ({reason}){budget}")
}
