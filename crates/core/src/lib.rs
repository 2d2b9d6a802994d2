//! Decisions of egretshore.
//!
//! Every type here takes its state and the current [`Time`] as arguments and returns
//! a decision or a list of effects. Nothing reads a clock, a socket or a random source,
//! so the same code runs in the daemons, in the fuzzer and in the policy bench.

mod admission;
mod config;
mod course;
mod hash;
mod journal;
mod membership;
mod name;
mod outcome;
mod ownership;
mod permits;
mod placement;
mod retry;
mod slots;
mod stream;
mod suspects;
mod time;

pub use admission::CallerLimits;
pub use config::{
    Adapter, BaseModel, Change, Config, ConfigLog, ConfigRecord, EngineSpec, Hosts, Manifest,
    ManifestError, Op, Rejection, ServiceSpec, ServiceTarget, Snapshot, Verdict, WeightStoreSpec,
    diff, validate,
};
pub use course::{AttemptEnd, Course, Next};
pub use hash::{Fingerprint, digest, fingerprint, mix, rendezvous};
pub use journal::{
    AfterIntent, Attempt, BeginError, Entry as JournalEntry, Journal, JournalRecord, KeyDigest,
    Lookup, RecordedAnswer, Written,
};
pub use membership::{HostState, Member, Members};
pub use name::{ModelName, ModelNameError};
pub use outcome::{Class, Outcome, Reason};
pub use ownership::{ClaimRecord, Claims, Holding, Ownership, OwnershipTimes, Resource, assign};
pub use permits::{Loan, Permits, StoreLimits};
pub use placement::{Candidates, Demand, EngineView, Eviction, Policy, Views, Weights, choose};
pub use retry::{RetryBudget, backoff_ms};
pub use slots::{
    Cancel, Effect, EngineLimits, EngineSlots, Grant, LoadOrder, LoadResult, OrderKind, Refusal,
    RequestKey, SlotCounters, SlotSettings, Ticket, TicketEnd, Waiting, Want,
};
pub use suspects::{Standing, SuspectRecord, Suspects};
pub use time::Time;
