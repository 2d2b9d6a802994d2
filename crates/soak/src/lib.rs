//! A soak of real processes: plays a schedule of faults, drawn from a seed, on hosts, targets, the
//! store and the paths between them while callers send load, then checks what callers and targets
//! saw.

mod caller;
mod checks;
pub mod cli;
mod fleet;
mod schedule;
mod soak;

pub use {
    checks::{
        Attempt, BrittleTime, End, Executed, History, Route, Stop, Violation, check_falls,
        check_lost, check_mixed, check_order, check_refused, check_twice,
    },
    schedule::{Fault, FaultKind, Schedule, ScheduleConf, Service},
    soak::{Report, SoakConf, play},
};
