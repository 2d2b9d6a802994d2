//! Continuous batching: every step gives one token to each running sequence.

use {
    super::Engine,
    indexmap::IndexSet,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Load reports kept for later queries.
const LOAD_REPORTS_MAX: usize = 4096;

/// A request in the engine.
pub(super) struct Sequence {
    pub(super) request: String,
    pub(super) attempt: String,
    pub(super) model: String,
    pub(super) priority: u8,
    pub(super) tokens_left: u64,
    pub(super) silent: bool,
    pub(super) crashes_engine: bool,
    pub(super) tx: mpsc::UnboundedSender<StepOutput>,
}

/// The result of a step for one sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StepOutput {
    /// A token.
    Token,
    /// The last token.
    Last,
    /// The sequence was cancelled, or its adapter was unloaded.
    Aborted,
}

/// Running and waiting sequences.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) running: Vec<Sequence>,
    pub(super) waiting: VecDeque<Sequence>,
}

impl Batch {
    /// Stops the output of all current sequences; later ones are not affected.
    pub(super) fn silence_all(&mut self) {
        for sequence in self.running.iter_mut().chain(&mut self.waiting) {
            sequence.silent = true;
        }
    }

    /// Aborts the sequences that match `matches` and returns their number.
    pub(super) fn abort(&mut self, matches: impl Fn(&Sequence) -> bool) -> usize {
        let before = self.running.len() + self.waiting.len();
        let keep = |sequence: &Sequence| {
            let aborted = matches(sequence);
            if aborted {
                let _ = sequence.tx.send(StepOutput::Aborted);
            }
            !aborted
        };
        self.running.retain(&keep);
        self.waiting.retain(&keep);
        before - self.running.len() - self.waiting.len()
    }

    fn admit(&mut self, running_max: usize) {
        self.waiting.make_contiguous().sort_by_key(|s| s.priority);
        while self.running.len() < running_max {
            let Some(next) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(next);
        }
    }
}

/// Runs steps until the engine crashes.
pub(super) async fn run_steps(engine: Arc<Engine>) {
    while !engine.has_crashed() {
        let Some(duration) = begin_step(&engine) else {
            let idle = Duration::from_millis(20);
            let _ = tokio::time::timeout(idle, engine.work_added.notified()).await;
            continue;
        };
        tokio::time::sleep(duration).await;
        end_step(&engine);
    }
}

/// Admits waiting sequences and returns the duration of the next step, `None` when no step can run.
fn begin_step(engine: &Engine) -> Option<Duration> {
    let args = &engine.durable.args;
    let frozen = engine.durable.faults.lock().freeze;
    let mut batch = engine.batch.lock();
    batch.running.retain(|s| !s.tx.is_closed());
    batch.waiting.retain(|s| !s.tx.is_closed());
    record_load_report(engine, &batch);
    batch.admit(args.batch);
    if batch.running.is_empty() || frozen {
        return None;
    }
    let adapters: IndexSet<&str> = batch.running.iter().map(|s| s.model.as_str()).collect();
    let (sequences, adapters) = (batch.running.len() as u64, adapters.len() as u64);
    let mut stats = engine.durable.stats.lock();
    stats.steps += 1;
    stats.sequences += sequences;
    stats.adapters += adapters;
    let us = args.step_ms * 1000 + sequences * args.sequence_us + adapters * args.adapter_us;
    Some(Duration::from_micros(us))
}

fn record_load_report(engine: &Engine, batch: &Batch) {
    let mut reports = engine.load_reports.lock();
    reports.push_back((Instant::now(), batch.running.len(), batch.waiting.len()));
    if reports.len() > LOAD_REPORTS_MAX {
        reports.pop_front();
    }
}

fn end_step(engine: &Engine) {
    let mut crashes = false;
    let mut answered = 0;
    engine.batch.lock().running.retain_mut(|sequence| {
        crashes |= sequence.crashes_engine;
        if sequence.silent {
            return true;
        }
        sequence.tokens_left = sequence.tokens_left.saturating_sub(1);
        let last = sequence.tokens_left == 0;
        let _ = sequence.tx.send(if last { StepOutput::Last } else { StepOutput::Token });
        answered += u64::from(last);
        !last
    });
    engine.durable.stats.lock().answered += answered;
    if crashes {
        engine.crash();
    }
}
