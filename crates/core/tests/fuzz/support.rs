//! Random commands, their shrinking, and fixed seeds.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Longest sequence of commands.
const COMMANDS_MAX: usize = 160;

/// Seed of runs that set no other.
const SEED: u64 = 20_261_203;

/// A random command. Each world reads the numbers as it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Command {
    pub(crate) action: u8,
    pub(crate) actor: u8,
    pub(crate) subject: u8,
    pub(crate) variant: u8,
}

impl From<(u8, u8, u8, u8)> for Command {
    fn from((action, actor, subject, variant): (u8, u8, u8, u8)) -> Self {
        Self { action, actor, subject, variant }
    }
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            action: u8::arbitrary(g),
            actor: u8::arbitrary(g),
            subject: u8::arbitrary(g),
            variant: u8::arbitrary(g),
        }
    }
}

/// Runs commands in a simulated world and returns the invariant that they broke.
type World = fn(&[Command]) -> Result<(), String>;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs `world` on random sequences of commands. A failing sequence is shrunk and printed.
pub(crate) fn run_sequences(name: &str, sequences: u64, world: World) {
    let seed = setting("EGRET_FUZZ_SEED").unwrap_or(SEED);
    let sequences = setting("EGRET_FUZZ_SEQUENCES").unwrap_or(sequences);
    WORLD.with(|cell| cell.set(Some(world)));
    let property: fn(Vec<Command>) -> TestResult = |commands| {
        let world = WORLD.with(std::cell::Cell::get).expect("set by run_sequences");
        match world(&commands) {
            Ok(()) => TestResult::passed(),
            Err(problem) => TestResult::error(problem),
        }
    };
    let passed = QuickCheck::new()
        .rng(Gen::from_size_and_seed(COMMANDS_MAX, seed))
        .tests(sequences)
        .max_tests(sequences)
        .quicktest(property);
    match passed {
        Ok(count) => println!("{name}: {count} sequences passed, seed {seed}"),
        Err(failure) => panic!("{name}, seed {seed}: {failure:?}"),
    }
}

std::thread_local! {
    static WORLD: std::cell::Cell<Option<World>> =
        const { std::cell::Cell::new(None) };
}
