//! The adapter slots, the queue and the tickets of one engine, with the decisions of its keeper.

mod admit;
mod dispatch;
mod engine;
mod evict;
mod loads;
mod takeover;
mod types;

pub use {
    engine::EngineSlots,
    types::{
        Cancel, Effect, EngineLimits, Grant, LoadOrder, LoadResult, OrderKind, Refusal,
        RequestGroup, RequestKey, SlotCounters, SlotSettings, Ticket, TicketEnd, TicketRequest,
    },
};
