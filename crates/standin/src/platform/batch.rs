//! Admission of requests to an engine's batch, by priority and memory.

use {parking_lot::Mutex, std::sync::Arc, tokio::sync::watch};

/// Capacity and pace of an engine's batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchConf {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused.
    pub queue_max: usize,
    /// Tokens of prompts and answers that fit into the engine's memory.
    pub memory_tokens: u64,
    /// Prompt tokens that a prefill processes in a millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Microseconds that each running request adds to the time between two events.
    pub step_us_per_request: u64,
}

impl Default for BatchConf {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_max: 24,
            memory_tokens: 100_000,
            prefill_tokens_per_ms: 40,
            step_us_per_request: 100,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sequence {
    // lower values are more urgent
    priority: u64,
    number: u64,
    tokens: u64,
}

#[derive(Debug, Default)]
struct BatchState {
    // by priority, then by arrival
    sequences: Vec<Sequence>,
    next_number: u64,
    preemptions: u64,
    // instead of the number in the settings
    queue_max: Option<usize>,
}

/// The requests of an engine. The most urgent ones run, as many as slots and memory allow; requests
/// of equal priority run in the order of arrival. A running request is preempted when a more urgent
/// one needs its slot or memory.
#[derive(Debug)]
pub struct Batch {
    conf: BatchConf,
    state: Mutex<BatchState>,
    changed: watch::Sender<u64>,
}

impl Batch {
    /// Creates the batch of an idle engine.
    #[must_use]
    pub fn new(conf: BatchConf) -> Arc<Self> {
        Arc::new(Self { conf, state: Mutex::default(), changed: watch::channel(0).0 })
    }

    /// Adds a request that needs memory for `tokens`. Returns `None` when the queue is full or the
    /// request exceeds the engine's memory.
    pub fn submit(self: &Arc<Self>, priority: u64, tokens: u64) -> Option<SequenceHandle> {
        let mut state = self.state.lock();
        let queue_max = state.queue_max.unwrap_or(self.conf.queue_max);
        if state.sequences.len() >= self.conf.slots + queue_max || tokens > self.conf.memory_tokens
        {
            return None;
        }
        let running_before = self.running_numbers(&state);
        let sequence = Sequence { priority, number: state.next_number, tokens };
        state.next_number += 1;
        let index = state.sequences.partition_point(|other| other.priority <= priority);
        state.sequences.insert(index, sequence);
        let running_after = self.running_numbers(&state);
        let preempted =
            running_before.iter().filter(|number| !running_after.contains(number)).count();
        state.preemptions += preempted as u64;
        drop(state);
        self.changed.send_modify(|version| *version += 1);
        Some(SequenceHandle { batch: self.clone(), sequence })
    }

    /// Sets how many requests may wait for a slot, or goes back to the number in the settings.
    pub fn set_queue_max(&self, queue_max: Option<usize>) {
        self.state.lock().queue_max = queue_max;
    }

    /// Requests that run at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.conf.slots
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running_numbers(&self.state.lock()).len()
    }

    /// Number of preemptions so far.
    #[must_use]
    pub fn preemptions(&self) -> u64 {
        self.state.lock().preemptions
    }

    /// Time that the running requests add between two events, in microseconds.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        self.conf.step_us_per_request * self.running() as u64
    }

    /// Duration of the prefill of a prompt of `tokens`, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens / self.conf.prefill_tokens_per_ms.max(1)
    }

    // the numbers of the running requests
    fn running_numbers(&self, state: &BatchState) -> Vec<u64> {
        let mut left = self.conf.memory_tokens;
        let fits = |sequence: &&Sequence| {
            let fits = sequence.tokens <= left;
            left = left.saturating_sub(sequence.tokens);
            fits
        };
        state.sequences.iter().take(self.conf.slots).take_while(fits).map(|s| s.number).collect()
    }
}

/// A request in a batch. Dropping the handle removes the request.
#[derive(Debug)]
pub struct SequenceHandle {
    batch: Arc<Batch>,
    sequence: Sequence,
}

impl Drop for SequenceHandle {
    fn drop(&mut self) {
        self.batch.state.lock().sequences.retain(|sequence| *sequence != self.sequence);
        self.batch.changed.send_modify(|version| *version += 1);
    }
}

impl SequenceHandle {
    /// True while the request runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.batch.running_numbers(&self.batch.state.lock()).contains(&self.sequence.number)
    }

    /// Waits until the request runs.
    pub async fn wait_until_running(&self) {
        let mut changed = self.batch.changed.subscribe();
        // an error is impossible: the batch owns the sender
        let _ = changed.wait_for(|_| self.is_running()).await;
    }
}
