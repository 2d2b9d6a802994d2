//! Request dispatch: from the caller to a target, and the answer back.

mod accounts;
mod attempt;
mod crash_suspects;
mod crash_test;
mod event_reader;
mod placement;
mod relay;
mod request;
mod resumption;
mod serve;
mod silence;
mod stop;
mod stream;
mod target_starts;

pub(crate) use {
    crash_suspects::{CrashChecks, apply_message as apply_suspects, crashes_message},
    relay::Relays,
    request::CutCaller,
    stop::serve_until_stop,
};
