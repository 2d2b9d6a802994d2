//! Which requests an engine runs at once.

use {parking_lot::Mutex, std::sync::Arc, tokio::sync::watch};

/// How many requests an engine takes.
#[derive(Clone, Copy, Debug)]
pub struct BatchConf {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that wait beside those; further ones are refused.
    pub queue_max: usize,
    /// Tokens of prompts and answers that its memory holds.
    pub memory_tokens: u64,
    /// Prompt tokens that it reads in a millisecond.
    pub prefill_per_ms: u64,
    /// Microseconds that each running request adds to the time between two events.
    pub step_us_per_request: u64,
}

impl Default for BatchConf {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_max: 24,
            memory_tokens: 100_000,
            prefill_per_ms: 40,
            step_us_per_request: 100,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sequence {
    // less is more urgent
    priority: u64,
    number: u64,
    tokens: u64,
}

#[derive(Debug, Default)]
struct BatchState {
    // in their order
    sequences: Vec<Sequence>,
    next_number: u64,
    preemptions: u64,
}

/// The requests of an engine. The most urgent run, as many as its slots and its memory take;
/// among equals those that came first. One that runs is put back when more urgent ones come.
#[derive(Debug)]
pub struct Batch {
    conf: BatchConf,
    state: Mutex<BatchState>,
    changed: watch::Sender<u64>,
}

impl Batch {
    /// An idle engine's.
    #[must_use]
    pub fn new(conf: BatchConf) -> Arc<Self> {
        Arc::new(Self { conf, state: Mutex::default(), changed: watch::channel(0).0 })
    }

    /// Takes a request of `rank` that needs memory for `tokens`; none when too many wait.
    pub fn submit(self: &Arc<Self>, rank: u64, tokens: u64) -> Option<SequenceHandle> {
        let mut members = self.state.lock();
        if members.sequences.len() >= self.conf.slots + self.conf.queue_max
            || tokens > self.conf.memory_tokens
        {
            return None;
        }
        let ran = self.running_numbers(&members);
        let member = Sequence { priority: rank, number: members.next_number, tokens };
        members.next_number += 1;
        let at = members.sequences.partition_point(|other| other.priority <= rank);
        members.sequences.insert(at, member);
        let runs = self.running_numbers(&members);
        let put_back = ran.iter().filter(|number| !runs.contains(number)).count();
        members.preemptions += put_back as u64;
        drop(members);
        self.changed.send_modify(|version| *version += 1);
        Some(SequenceHandle { batch: self.clone(), sequence: member })
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running_numbers(&self.state.lock()).len()
    }

    /// Requests that were put back while they ran.
    #[must_use]
    pub fn preemptions(&self) -> u64 {
        self.state.lock().preemptions
    }

    /// Time between two events beside the engine's own, in microseconds.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        self.conf.step_us_per_request * self.running() as u64
    }

    /// Time to read a prompt of `tokens`, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens / self.conf.prefill_per_ms.max(1)
    }

    // numbers of those that run
    fn running_numbers(&self, members: &BatchState) -> Vec<u64> {
        let mut left = self.conf.memory_tokens;
        let fits = |member: &&Sequence| {
            let fits = member.tokens <= left;
            left = left.saturating_sub(member.tokens);
            fits
        };
        members.sequences.iter().take(self.conf.slots).take_while(fits).map(|m| m.number).collect()
    }
}

/// A request at an engine. Dropping it ends it.
#[derive(Debug)]
pub struct SequenceHandle {
    batch: Arc<Batch>,
    sequence: Sequence,
}

impl Drop for SequenceHandle {
    fn drop(&mut self) {
        self.batch.state.lock().sequences.retain(|member| *member != self.sequence);
        self.batch.changed.send_modify(|version| *version += 1);
    }
}

impl SequenceHandle {
    /// True while it runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.batch.running_numbers(&self.batch.state.lock()).contains(&self.sequence.number)
    }

    /// Waits until it runs.
    pub async fn wait_until_running(&self) {
        let mut changed = self.batch.changed.subscribe();
        // the sender lives as long as the batch
        let _ = changed.wait_for(|_| self.is_running()).await;
    }
}
