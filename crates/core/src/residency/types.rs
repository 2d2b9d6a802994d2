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
    /// Unload an adapter.
    Unload {
        /// Its name.
        adapter: FastStr,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The state that the order asks for is reached.
    Done,
    /// The engine has accepted another number of orders than the order carries, or carries out
    /// another one.
    Conflict,
    /// The engine knows a later owner.
    Fenced,
    /// The engine is another one, or cannot carry the order out.
    Rejected,
    /// No answer came: the order may be carried out now or later.
    NoAnswer,
}

/// An engine's report of its state.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// Orders accepted since the engine's start.
    pub seq: u64,
    /// Resident base models.
    pub models: Vec<FastStr>,
    /// Resident adapters, with their versions.
    pub adapters: Vec<(FastStr, u64)>,
    /// Adapters being loaded.
    pub pending: Vec<FastStr>,
    /// True while an order for a base model is carried out.
    pub base_loading: bool,
}

/// An adapter resident on an engine.
#[derive(Clone, Copy, Debug)]
pub struct ResidentAdapter {
    /// Its version, 0 if unknown.
    pub version: u64,
    /// Last use known to this host.
    pub last_used_at: Time,
}

/// The next step for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextOrder {
    /// Request its report.
    Report,
    /// Send this order.
    Order(AdapterOrder),
    /// Do nothing before this time.
    WaitUntil(Time),
}
