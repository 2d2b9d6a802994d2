//! Decisions of egretshore.
//!
//! Every type here takes its state and the current [`Time`] as arguments and returns
//! a decision or a list of effects. Nothing reads a clock, a socket or a random source,
//! so the same code runs in the daemons, in the fuzzer and in the policy bench.

mod admission;
mod config;
mod course;
mod crashes;
mod crossings;
mod events;
mod fleet;
mod hash;
mod homes;
mod journal;
mod membership;
mod name;
mod outcome;
mod ownership;
mod permits;
mod placement;
mod residency;
mod retry;
mod routing;
mod send;
mod slots;
mod steer;
mod stream;
mod suspects;
mod tenure;
mod time;
mod transit;
mod window;

pub use admission::CallerLimits;
pub use config::{
    Adapter, BaseModel, Change, Config, ConfigLog, ConfigRecord, EngineSpec, Hosts, Manifest,
    ManifestError, Op, Rejection, ServiceSpec, ServiceTarget, Snapshot, Verdict, WeightStoreSpec,
    diff, validate,
};
pub use course::{AttemptEnd, Course, Next};
pub use crashes::Crashes;
pub use crossings::Crossings;
pub use events::{EventCutter, OutOfOrder};
pub use fleet::{Fleet, Health, HeldAdapter, HeldModel, Target, TargetState};
pub use hash::{Fingerprint, digest, fingerprint, mix, rendezvous};
pub use homes::Homes;
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
pub use residency::{AdapterOrder, Book, Held, NextOrder, OrderAnswer, Report};
pub use retry::{RetryBudget, backoff_ms};
pub use routing::{
    CallerBounds, EngineTraits, Route, RouteKind, Routing, Selected, Service, Share,
};
pub use send::{Final, Send, SendEnd, Step};
pub use slots::{
    Cancel, Effect, EngineLimits, EngineSlots, Grant, LoadOrder, LoadResult, OrderKind, Refusal,
    RequestKey, SlotCounters, SlotSettings, Ticket, TicketEnd, Waiting, Want,
};
pub use steer::{Candidate, Place, steer_adapter, steer_plain};
pub use suspects::{Standing, SuspectRecord, Suspects};
pub use tenure::{Fencing, Tenure, TenureRecord};
pub use time::Time;
pub use transit::TransitLimit;
pub use window::{RetryBounds, RetryWindow};
