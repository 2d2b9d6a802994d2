//! Which requests an engine runs at once.

use {parking_lot::Mutex, std::sync::Arc, tokio::sync::watch};

/// How many requests an engine takes.
#[derive(Clone, Copy, Debug)]
pub struct BatchConf {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that wait beside those; further ones are refused.
    pub queue: usize,
    /// Tokens of prompts and answers that its memory holds.
    pub tokens: u64,
    /// Prompt tokens that it reads in a millisecond.
    pub prefill_per_ms: u64,
    /// Microseconds that each running request adds to the time between two events.
    pub step_us: u64,
}

impl Default for BatchConf {
    fn default() -> Self {
        Self { slots: 8, queue: 24, tokens: 100_000, prefill_per_ms: 40, step_us: 100 }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Member {
    // less is more urgent
    rank: u64,
    number: u64,
    tokens: u64,
}

#[derive(Debug, Default)]
struct Members {
    // in their order
    all: Vec<Member>,
    next: u64,
    preempted: u64,
}

/// The requests of an engine. The most urgent run, as many as its slots and its memory take;
/// among equals those that came first. One that runs is put back when more urgent ones come.
#[derive(Debug)]
pub struct Batch {
    conf: BatchConf,
    members: Mutex<Members>,
    changed: watch::Sender<u64>,
}

impl Batch {
    /// An idle engine's.
    #[must_use]
    pub fn new(conf: BatchConf) -> Arc<Self> {
        Arc::new(Self { conf, members: Mutex::default(), changed: watch::channel(0).0 })
    }

    /// Takes a request of `rank` that needs memory for `tokens`; none when too many wait.
    pub fn enter(self: &Arc<Self>, rank: u64, tokens: u64) -> Option<Place> {
        let mut members = self.members.lock();
        if members.all.len() >= self.conf.slots + self.conf.queue || tokens > self.conf.tokens {
            return None;
        }
        let ran = self.first(&members);
        let member = Member { rank, number: members.next, tokens };
        members.next += 1;
        let at = members.all.partition_point(|other| other.rank <= rank);
        members.all.insert(at, member);
        let runs = self.first(&members);
        let put_back = ran.iter().filter(|number| !runs.contains(number)).count();
        members.preempted += put_back as u64;
        drop(members);
        self.changed.send_modify(|version| *version += 1);
        Some(Place { batch: self.clone(), member })
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.first(&self.members.lock()).len()
    }

    /// Requests that were put back while they ran.
    #[must_use]
    pub fn preempted(&self) -> u64 {
        self.members.lock().preempted
    }

    /// Time between two events beside the engine's own, in microseconds.
    #[must_use]
    pub fn step_us(&self) -> u64 {
        self.conf.step_us * self.running() as u64
    }

    /// Time to read a prompt of `tokens`, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens / self.conf.prefill_per_ms.max(1)
    }

    // numbers of those that run
    fn first(&self, members: &Members) -> Vec<u64> {
        let mut left = self.conf.tokens;
        let fits = |member: &&Member| {
            let fits = member.tokens <= left;
            left = left.saturating_sub(member.tokens);
            fits
        };
        members.all.iter().take(self.conf.slots).take_while(fits).map(|m| m.number).collect()
    }
}

/// A request at an engine. Dropping it ends it.
#[derive(Debug)]
pub struct Place {
    batch: Arc<Batch>,
    member: Member,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.batch.members.lock().all.retain(|member| *member != self.member);
        self.batch.changed.send_modify(|version| *version += 1);
    }
}

impl Place {
    /// True while it runs.
    #[must_use]
    pub fn runs(&self) -> bool {
        self.batch.first(&self.batch.members.lock()).contains(&self.member.number)
    }

    /// Waits until it runs.
    pub async fn admitted(&self) {
        let mut changed = self.batch.changed.subscribe();
        // the sender lives as long as the batch
        let _ = changed.wait_for(|_| self.runs()).await;
    }
}
