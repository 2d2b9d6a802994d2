//! Stateful fuzzing of the decision core against oracles that know only its invariants.
//!
//! Seeds are fixed, so that each run gives the same result. For long runs with fresh seeds:
//! `EGRET_FUZZ_SEED=7 EGRET_FUZZ_SEQUENCES=100000 cargo test --release -p egret-core --test fuzz`.

#![expect(clippy::cast_possible_truncation, reason = "test worlds are small")]

mod config_world;
mod engine_owners_world;
mod inventory_world;
mod journal_world;
mod slots_world;
mod support;

use support::{Command, run_sequences};

#[test]
fn slots_random_commands() {
    run_sequences("slots", 600, slots_world::run);
}

#[test]
fn journal_random_commands() {
    run_sequences("journal", 1500, journal_world::run);
}

#[test]
fn config_random_commands() {
    run_sequences("config", 1500, config_world::run);
}

#[test]
fn inventory_random_commands() {
    run_sequences("inventory", 1500, inventory_world::run);
}

#[test]
fn engine_owners_random_commands() {
    run_sequences("engine_owners", 3000, engine_owners_world::run);
}

/// Shrunk command sequences that once broke an invariant. Each names the fault that it showed.
#[test]
fn slots_regression_sequences() {
    for (fault, commands) in slots_world::REGRESSIONS {
        let commands: Vec<Command> = commands.iter().copied().map(Command::from).collect();
        if let Err(violation) = slots_world::run(&commands) {
            panic!("{fault}: {violation}");
        }
    }
}
