//! Entries compete for keys, are killed, lose the log and lose answers; callers repeat requests.
//!
//! The oracle counts the effects of each key. Invariants: a key never has two effects; a request is
//! answered "not run" only while its key has no effect and none is under way, and "done" only after
//! an effect.

use {
    crate::support::Command,
    egret_core::{
        AppendOutcome, Attempt, IntentDecision, Journal, JournalRecord, KeyDigest, Lookup, Outcome,
        RecordedAnswer,
    },
    faststr::FastStr,
    indexmap::IndexMap,
};

const ENTRIES: usize = 3;
const KEYS: u8 = 3;
const KEY_MAX_MS: u64 = 60_000;
const EXPIRES_UNIX_MS: u64 = 50_000;

/// Progress of a request within its entry.
#[derive(Clone, Debug)]
enum Stage {
    Begun,
    Intended(AppendOutcome),
    Sending,
    Answered(RecordedAnswer),
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    key: u8,
    body: FastStr,
    attempt: Attempt,
    stage: Stage,
    /// Effects of the key when the request came.
    effects_before: u32,
}

struct Entry {
    journal: Journal,
    in_flight: Vec<InFlightRequest>,
    settlements: Vec<JournalRecord>,
    incarnation: u64,
    attempts: u64,
}

struct World {
    records: Vec<JournalRecord>,
    log_up: bool,
    entries: Vec<Entry>,
    effects: IndexMap<u8, u32>,
}

pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World {
        records: Vec::new(),
        log_up: true,
        entries: (0..ENTRIES).map(|_| new_entry(0)).collect(),
        effects: IndexMap::new(),
    };
    for command in commands {
        world.step(*command)?;
        if let Some((key, effects)) = world.effects.iter().find(|(_, effects)| **effects > 1) {
            return Err(format!("key {key} took effect {effects} times"));
        }
    }
    Ok(())
}

fn new_entry(incarnation: u64) -> Entry {
    Entry {
        journal: Journal::new(KEY_MAX_MS),
        in_flight: Vec::new(),
        settlements: Vec::new(),
        incarnation,
        attempts: 0,
    }
}

fn digest(key: u8) -> KeyDigest {
    KeyDigest::new("caller", "studio", &key.to_string())
}

impl World {
    fn step(&mut self, command: Command) -> Result<(), String> {
        let entry = usize::from(command.actor) % ENTRIES;
        match command.action % 16 {
            0..=3 => self.receive_request(entry, command),
            10 => {
                self.read_log(entry);
                Ok(())
            }
            11 => {
                self.append_settlements(entry, command.variant.is_multiple_of(4));
                Ok(())
            }
            12 => {
                self.log_up = !command.variant.is_multiple_of(3);
                Ok(())
            }
            13 if command.variant.is_multiple_of(2) => {
                // A killed entry loses its state, including the answer to a request in flight.
                let incarnation = self.entries[entry].incarnation + 1;
                self.entries[entry] = new_entry(incarnation);
                Ok(())
            }
            _ => self.advance(entry, command),
        }
    }

    fn read_log(&mut self, entry: usize) -> bool {
        if !self.log_up {
            return false;
        }
        let journal = &mut self.entries[entry].journal;
        for offset in journal.next_offset()..self.records.len() as u64 {
            journal.apply_record(offset, self.records[offset as usize].clone());
        }
        true
    }

    fn append_settlements(&mut self, entry: usize, answer_lost: bool) {
        if !self.log_up {
            return;
        }
        let settlements = self.entries[entry].settlements.clone();
        self.records.extend(settlements);
        if !answer_lost {
            self.entries[entry].settlements.clear();
        }
    }

    fn receive_request(&mut self, entry: usize, command: Command) -> Result<(), String> {
        let key = command.subject % KEYS;
        let body = FastStr::new(if command.variant.is_multiple_of(7) { "other" } else { "body" });
        let effects_before = self.effects.get(&key).copied().unwrap_or(0);
        // An entry answers for keys only once it has read the stream.
        if self.entries[entry].journal.next_offset() == 0 && !self.read_log(entry) {
            return Ok(());
        }
        let mut lookup = self.entries[entry].journal.lookup(&digest(key), &body);
        if lookup == Lookup::Open && self.read_log(entry) {
            lookup = self.entries[entry].journal.lookup(&digest(key), &body);
        }
        if lookup != Lookup::Free {
            let decision = Journal::decide_unsent(lookup, true);
            return self.check_answer(key, &body, &decision, effects_before);
        }
        let state = &mut self.entries[entry];
        state.attempts += 1;
        let attempt = Attempt {
            entry: FastStr::from_string(entry.to_string()),
            incarnation: state.incarnation,
            number: state.attempts,
        };
        state.in_flight.push(InFlightRequest {
            key,
            body,
            attempt,
            stage: Stage::Begun,
            effects_before,
        });
        Ok(())
    }

    fn advance(&mut self, entry: usize, command: Command) -> Result<(), String> {
        let count = self.entries[entry].in_flight.len();
        if count == 0 {
            return Ok(());
        }
        let index = usize::from(command.subject) % count;
        let mut request = self.entries[entry].in_flight.remove(index);
        match request.stage.clone() {
            Stage::Begun => {
                request.stage = Stage::Intended(self.append_intent(&request, command.variant));
                self.entries[entry].in_flight.push(request);
                Ok(())
            }
            Stage::Intended(append) => self.decide(entry, request, append),
            Stage::Sending => {
                self.send(entry, request, command.variant);
                Ok(())
            }
            Stage::Answered(answer) => {
                let record = JournalRecord::Done {
                    key: digest(request.key),
                    attempt: request.attempt.clone(),
                    answer: answer.clone(),
                };
                self.entries[entry].settlements.push(record);
                let decision = IntentDecision::Replay(answer);
                self.check_answer(request.key, &request.body, &decision, request.effects_before)
            }
        }
    }

    fn append_intent(&mut self, request: &InFlightRequest, variant: u8) -> AppendOutcome {
        let lost = variant.is_multiple_of(5);
        if !self.log_up {
            return if lost { AppendOutcome::Uncertain } else { AppendOutcome::NotAppended };
        }
        let offset = self.records.len() as u64;
        self.records.push(JournalRecord::Intent {
            key: digest(request.key),
            body: request.body.clone(),
            attempt: request.attempt.clone(),
            expires_unix_ms: EXPIRES_UNIX_MS,
        });
        if lost { AppendOutcome::Uncertain } else { AppendOutcome::Appended(offset) }
    }

    fn decide(
        &mut self,
        entry: usize,
        mut request: InFlightRequest,
        append: AppendOutcome,
    ) -> Result<(), String> {
        let reached_end = self.read_log(entry);
        let key = digest(request.key);
        let journal = &self.entries[entry].journal;
        let (decision, must_withdraw) =
            journal.decide_after_intent(&key, &request.body, &request.attempt, append, reached_end);
        if must_withdraw {
            let record = JournalRecord::NotSent { key, attempt: request.attempt.clone() };
            self.entries[entry].settlements.push(record);
        }
        if decision == IntentDecision::Send {
            request.stage = Stage::Sending;
            self.entries[entry].in_flight.push(request);
            return Ok(());
        }
        self.check_answer(request.key, &request.body, &decision, request.effects_before)
    }

    fn send(&mut self, entry: usize, mut request: InFlightRequest, variant: u8) {
        match variant % 4 {
            // No target accepted a connection.
            0 => {
                let record =
                    JournalRecord::NotSent { key: digest(request.key), attempt: request.attempt };
                self.entries[entry].settlements.push(record);
            }
            // The request took effect and the answer was lost.
            1 => *self.effects.entry(request.key).or_default() += 1,
            _ => {
                *self.effects.entry(request.key).or_default() += 1;
                request.stage = Stage::Answered(RecordedAnswer {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: Some("ok".into()),
                    target: "t".into(),
                });
                self.entries[entry].in_flight.push(request);
            }
        }
    }

    fn check_answer(
        &self,
        key: u8,
        body: &str,
        decision: &IntentDecision,
        effects_before: u32,
    ) -> Result<(), String> {
        let effects = self.effects.get(&key).copied().unwrap_or(0);
        match decision {
            IntentDecision::Refuse(Outcome::NotRun, reason) => {
                // When the body differs from that of the key's first request, "not run" is about
                // this request, even if the first one took effect.
                let same = body == "body" && reason.as_str() != "key_reused";
                if same && effects_before > 0 {
                    return Err(format!(
                        "key {key} took effect, but a later request was answered not run"
                    ));
                }
                Ok(())
            }
            IntentDecision::Replay(_) if effects == 0 => {
                Err(format!("key {key} was answered done without an effect"))
            }
            _ => Ok(()),
        }
    }
}
