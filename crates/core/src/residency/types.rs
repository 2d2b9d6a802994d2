//! Orders, answers and reports.

use {crate::Time, faststr::FastStr};

/// An order to an engine. Adapters are named with their base model: `base/adapter`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdapterOrder {
    /// Load a base model.
    LoadBase {
        /// Its name.
        model: FastStr,
    },
    /// Load an adapter, or replace it by another version.
    Load {
        /// Its name.
        adapter: FastStr,
        /// Its version; the newest if none.
        version: Option<u64>,
    },
    /// Drop an adapter.
    Unload {
        /// Its name.
        adapter: FastStr,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds.
    Done,
    /// It has accepted other orders than the book says, or another one is under way.
    Conflict,
    /// It knows a later holder.
    Fenced,
    /// It is another engine, or can't do this.
    Rejected,
    /// No answer: it may be carried out now or later.
    NoAnswer,
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// Orders it has accepted since its start.
    pub seq: u64,
    /// Base models it holds.
    pub models: Vec<FastStr>,
    /// Adapters it holds, with their versions.
    pub adapters: Vec<(FastStr, u64)>,
    /// Adapters on their way to it.
    pub pending: Vec<FastStr>,
    /// True while it carries out an order for a base model.
    pub base_loading: bool,
}

/// An adapter that an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct ResidentAdapter {
    /// Its version, 0 when it is not known.
    pub version: u64,
    /// Last use that this host knows of.
    pub last_used_at: Time,
}

/// What comes next for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextOrder {
    /// Ask it for its report.
    Report,
    /// Give it this order.
    Order(AdapterOrder),
    /// Nothing before this time.
    WaitUntil(Time),
}
