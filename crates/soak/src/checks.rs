//! Checks of what callers and targets saw. Each is a function of the recorded attempts.

use {
    indexmap::IndexMap,
    std::fmt::{self, Display},
};

/// Time after a disruption within which a planned stop may still lose requests, in milliseconds.
const CONTACT_MS: u64 = 3000;

/// Age at which an unanswered request counts as read by its host, in milliseconds.
const LOSS_SLACK_MS: u64 = 1000;

/// Time from the end of a process to the end of its connections at the callers, in milliseconds.
const CLOSE_SLACK_MS: u64 = 300;

/// How a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Streams that may be resumed.
    Stream,
    /// Streams that may run once.
    Frail,
    /// Plain requests that may run once.
    Once,
    /// Plain requests that may be repeated.
    Safe,
}

impl Route {
    /// Name, which is also the first part of the path.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Frail => "frail",
            Self::Once => "once",
            Self::Safe => "safe",
        }
    }

    /// True if answers are series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Frail)
    }

    /// True if a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Stream | Self::Safe)
    }
}

/// How an attempt ended at its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer is whole by its framing.
    Whole,
    /// The connection was closed before.
    Closed,
    /// The connection was reset before, or could not be opened.
    Reset,
    /// The caller gave up.
    GivenUp,
    /// What came is not HTTP.
    Garbled,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the call; its attempts share it.
    pub call: u64,
    /// Route of the call.
    pub route: Route,
    /// Request id of the attempt.
    pub id: String,
    /// Index of the host.
    pub host: usize,
    /// Number of the last event that the caller had before.
    pub resumes_after: u64,
    /// Number of events that the call asks for.
    pub total: u64,
    /// Time limit that it names, in milliseconds.
    pub deadline_ms: u64,
    /// When it was sent, in milliseconds since the start.
    pub sent_ms: u64,
    /// When it ended, in milliseconds since the start.
    pub ended_ms: u64,
    /// Status of the answer.
    pub status: Option<u16>,
    /// True if the answer carries the seal of a target.
    pub is_sealed: bool,
    /// Request id of the answer.
    pub answered_id: Option<String>,
    /// Body as far as it came.
    pub body: String,
    /// How it ended.
    pub end: End,
}

impl Attempt {
    fn is_success(&self) -> bool {
        self.status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Complete events of the body, and what follows them.
    pub(crate) fn events(&self) -> (Vec<&str>, &str) {
        let end = self.body.rfind("\n\n").map_or(0, |at| at + 2);
        (self.body[..end].split_terminator("\n\n").collect(), &self.body[end..])
    }
}

/// A planned stop or re-reading of the settings of a host.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the host.
    pub host: usize,
    /// When it was signalled, in milliseconds since the start.
    pub from_ms: u64,
    /// When its process had ended.
    pub until_ms: u64,
    /// From when on requests that are still at work may be cut.
    pub grace_ends_ms: u64,
}

/// How often each request id was executed by a target.
pub type Executed = IndexMap<String, u64>;

/// A time in which the targets of a service said that they were brittle.
#[derive(Clone, Copy, Debug)]
pub struct BrittleTime {
    /// When it began, in milliseconds since the start.
    pub from_ms: u64,
    /// Number of the targets.
    pub targets: usize,
    /// How often they fell over.
    pub falls: usize,
}

/// What was played.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Begin and end of everything unplanned, in milliseconds since the start.
    pub disruptions: Vec<(u64, u64)>,
    /// Times in which a service was brittle.
    pub brittle: Vec<BrittleTime>,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Number of the call.
    pub call: u64,
    /// What was seen.
    pub seen: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in call {}: {}", self.rule, self.call, self.seen)
    }
}

/// An event, by the word of its writer.
struct Event<'a> {
    version: &'a str,
    // id and start of the target
    boot: (&'a str, &'a str),
    request_id: &'a str,
    number: u64,
    total: u64,
}

fn parse_event(text: &str) -> Option<Event<'_>> {
    let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let mut parts = data.split('/');
    let mut part = || parts.next();
    let event = Event {
        version: part()?,
        boot: (part()?, part()?),
        request_id: part()?,
        number: part()?.parse().ok()?,
        total: part()?.parse().ok()?,
    };
    (id.parse() == Ok(event.number) && part().is_none()).then_some(event)
}

fn by_call(attempts: &[Attempt]) -> IndexMap<u64, Vec<&Attempt>> {
    let mut calls: IndexMap<u64, Vec<&Attempt>> = IndexMap::new();
    for attempt in attempts {
        calls.entry(attempt.call).or_default().push(attempt);
    }
    calls
}

/// ORDER: an event is missing or comes twice, a stream joins software versions or runs, or it ends as
/// whole before its last event.
#[must_use]
pub fn check_order(attempts: &[Attempt]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (call, attempts) in by_call(attempts) {
        if let Err(seen) = check_stream(&attempts) {
            violations.push(Violation { rule: "ORDER", call, seen });
        }
    }
    violations
}

fn check_stream(attempts: &[&Attempt]) -> Result<(), String> {
    let mut version = None;
    for attempt in attempts.iter().filter(|a| a.route.is_stream() && a.is_success()) {
        let (events, rest) = attempt.events();
        let mut last = attempt.resumes_after;
        let mut boot = None;
        for text in events {
            let event = parse_event(text).ok_or_else(|| format!("event {text:?} after {last}"))?;
            if event.number != last + 1 || event.total != attempt.total {
                return Err(format!("event {text:?} after {last} of {}", attempt.total));
            }
            if *version.get_or_insert(event.version) != event.version {
                return Err(format!("event {text:?} of another version than {version:?}"));
            }
            if attempt.route == Route::Frail && *boot.get_or_insert(event.boot) != event.boot {
                return Err(format!("event {text:?} of another run than {boot:?}"));
            }
            last = event.number;
        }
        if attempt.end == End::Whole && (last != attempt.total || !rest.is_empty()) {
            return Err(format!("ends as whole after {last} of {}, {rest:?}", attempt.total));
        }
    }
    Ok(())
}

/// MIXED: a success without a seal, with a foreign id or events of another request, or a plain one
/// that is whole with another body than the target's.
#[must_use]
pub fn check_mixed(attempts: &[Attempt]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (call, attempts) in by_call(attempts) {
        for attempt in &attempts {
            let is_own = |id: &str| attempts.iter().any(|other| other.id == id);
            let foreign = attempt.answered_id.as_ref().filter(|id| **id != attempt.id);
            let body = &attempt.body;
            let seen = if attempt.end == End::Garbled {
                format!("no HTTP: {body:?}")
            } else if let Some(id) = foreign {
                format!("answer to {id} for {}", attempt.id)
            } else if !attempt.is_success() {
                continue;
            } else if !attempt.is_sealed || attempt.answered_id.is_none() {
                format!("success without seal or id: {body:?}")
            } else if attempt.route.is_stream() {
                let events = attempt.events().0.into_iter().filter_map(parse_event);
                match events.map(|event| event.request_id).find(|id| !is_own(id)) {
                    Some(id) => format!("event of {id}"),
                    None => continue,
                }
            } else if attempt.end == End::Whole && *body != format!("answer to {}", attempt.id) {
                format!("whole with {body:?} for {}", attempt.id)
            } else {
                continue;
            };
            violations.push(Violation { rule: "MIXED", call, seen });
        }
    }
    violations
}

fn violations_of(
    rule: &'static str,
    attempts: &[Attempt],
    seen: impl Fn(&Attempt) -> Option<String>,
) -> Vec<Violation> {
    let seen = attempts.iter().filter_map(|attempt| Some((attempt.call, seen(attempt)?)));
    seen.map(|(call, seen)| Violation { rule, call, seen }).collect()
}

fn executions(executed: &Executed, attempt: &Attempt) -> u64 {
    executed.get(&attempt.id).copied().unwrap_or(0)
}

/// TWICE: an attempt that may run once was executed more often.
#[must_use]
pub fn check_twice(attempts: &[Attempt], executed: &Executed) -> Vec<Violation> {
    violations_of("TWICE", attempts, |attempt| {
        let count = executions(executed, attempt);
        let is_broken = count > 1 && !attempt.route.is_repeatable();
        is_broken.then(|| format!("{} executed {count} times", attempt.id))
    })
}

/// REFUSED: an attempt that may run once was refused and was executed.
#[must_use]
pub fn check_refused(attempts: &[Attempt], executed: &Executed) -> Vec<Violation> {
    violations_of("REFUSED", attempts, |attempt| {
        let is_refused = matches!(attempt.status, Some(408 | 421 | 429 | 503));
        let was_executed = executions(executed, attempt) > 0 && !attempt.route.is_repeatable();
        (is_refused && was_executed).then(|| format!("{} refused, but executed", attempt.id))
    })
}

/// LOST: around a planned stop of its host and far from any disruption, a connection ended without a
/// whole answer to a request that its host had read.
#[must_use]
pub fn check_lost(attempts: &[Attempt], executed: &Executed, history: &History) -> Vec<Violation> {
    violations_of("LOST", attempts, |attempt| {
        let (sent_ms, ended_ms) = (attempt.sent_ms, attempt.ended_ms);
        let is_around = |stop: &&Stop| {
            stop.host == attempt.host
                && sent_ms <= stop.until_ms
                && (stop.from_ms..=stop.until_ms + CLOSE_SLACK_MS).contains(&ended_ms)
        };
        let stop = history.stops.iter().find(is_around)?;
        let has_grace =
            history.stops.iter().filter(is_around).all(|stop| ended_ms < stop.grace_ends_ms);
        let has_time = ended_ms - sent_ms + CLOSE_SLACK_MS < attempt.deadline_ms;
        let is_cut = matches!(attempt.end, End::Closed | End::Reset);
        let was_read = executions(executed, attempt) > 0 || ended_ms - sent_ms > LOSS_SLACK_MS;
        let is_disrupted = history
            .disruptions
            .iter()
            .any(|(from, until)| *from <= ended_ms && until.saturating_add(CONTACT_MS) >= sent_ms);
        (is_cut && was_read && has_grace && has_time && !is_disrupted).then(|| {
            format!("{} cut at {ended_ms} ms, host stopped at {} ms", attempt.id, stop.from_ms)
        })
    })
}

/// LIMIT: brittle targets fell over more often than twice and a tenth of their number. The violation
/// concerns no call.
#[must_use]
pub fn check_falls(history: &History) -> Vec<Violation> {
    // in tenths of a fall
    let fallen = history.brittle.iter().filter(|time| time.falls * 10 > 20 + time.targets);
    let violation = |time: &BrittleTime| Violation {
        rule: "LIMIT",
        call: u64::MAX,
        seen: format!(
            "{} targets, brittle from {} ms on, fell over {} times",
            time.targets, time.from_ms, time.falls
        ),
    };
    fallen.map(violation).collect()
}
