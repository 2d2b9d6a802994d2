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
mod engine_owners;
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
mod time;
mod transit;
mod window;

pub use admission::CallerLimits;
pub use config::{
    Adapter, BaseModel, ChangeResult, Config, ConfigChange, ConfigLog, ConfigRecord,
    ConfigSnapshot, EngineSpec, HostsOutOfService, Manifest, ManifestError, ManifestOp, Rejection,
    ServiceSpec, ServiceTarget, WeightStoreSpec, diff, validate,
};
pub use course::{AttemptEnd, Course, Next};
pub use crashes::Crashes;
pub use crossings::Crossings;
pub use engine_owners::{EngineClaim, EngineOwners, Fencing};
pub use events::{EventCutter, OutOfOrder};
pub use fleet::{Fleet, Health, HeldAdapter, HeldModel, Target, TargetState};
pub use hash::{Fingerprint, digest, fingerprint, mix, rendezvous};
pub use homes::Homes;
pub use journal::{
    AppendOutcome, Attempt, IntentDecision, Journal, JournalEntry, JournalRecord, KeyDigest,
    KeyRejection, Lookup, RecordedAnswer,
};
pub use membership::{HostState, Member, Members};
pub use name::{ModelName, ModelNameError};
pub use outcome::{Class, Outcome, Reason};
pub use ownership::{
    ClaimRecord, Claims, OwnerRecord, Ownership, OwnershipTimes, Resource, assign_keepers,
};
pub use permits::{Loan, Permits, WeightStoreLimits};
pub use placement::{
    Demand, EngineView, EngineViews, EvictionPolicy, PlacementPolicy, PlacementRequest, Weights,
    choose_engine,
};
pub use residency::{AdapterOrder, Book, Held, NextOrder, OrderAnswer, Report};
pub use retry::{RetryBudget, backoff_ms};
pub use routing::{
    CallerBounds, EngineTraits, Route, RouteKind, Routing, Selected, Service, Share,
};
pub use send::{Final, Send, SendEnd, Step};
pub use slots::{
    Cancel, Effect, EngineLimits, EngineSlots, Grant, LoadOrder, LoadResult, OrderKind, Refusal,
    RequestGroup, RequestKey, SlotCounters, SlotSettings, Ticket, TicketEnd, TicketRequest,
};
pub use steer::{Candidate, Place, steer_adapter, steer_plain};
pub use suspects::{Standing, SuspectRecord, Suspects};
pub use time::Time;
pub use transit::TransitLimit;
pub use window::{RetryBounds, RetryWindow};
