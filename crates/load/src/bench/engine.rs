//! A fake engine with continuous batching in virtual time.

use {
    egret_core::{ModelName, RequestKey, Time},
    indexmap::{IndexMap, IndexSet},
};

/// Duration of a step without sequences and adapters.
const BASE_STEP_US: u64 = 20_000;
/// Time that each sequence adds to a step.
const SEQUENCE_US: u64 = 500;
/// Time that each distinct adapter adds to a step.
const ADAPTER_US: u64 = 2500;

/// A fake engine. Each step gives one token to each running sequence.
#[derive(Debug, Default)]
pub(crate) struct FakeEngine {
    // with the number of tokens left
    running: IndexMap<RequestKey, (ModelName, u64)>,
    step_end_us: Option<u64>,
    pub(crate) steps: u64,
    pub(crate) sequences: u64,
    pub(crate) adapters: u64,
}

impl FakeEngine {
    /// Starts a request.
    pub(crate) fn start(&mut self, now: Time, key: RequestKey, model: ModelName, tokens: u64) {
        self.running.insert(key, (model, tokens));
        if self.step_end_us.is_none() {
            self.begin_step(now.as_millis() * 1000);
        }
    }

    /// Crashes the engine and returns the requests that were running.
    pub(crate) fn crash(&mut self) -> Vec<RequestKey> {
        self.step_end_us = None;
        self.running.drain(..).map(|(key, _)| key).collect()
    }

    /// Completes all steps that end by `now` and returns the finished requests.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<RequestKey> {
        let mut done = Vec::new();
        while let Some(end) = self.step_end_us.filter(|end| *end <= now.as_millis() * 1000) {
            self.running.retain(|key, (_, tokens)| {
                *tokens -= 1;
                if *tokens == 0 {
                    done.push(key.clone());
                }
                *tokens > 0
            });
            self.step_end_us = None;
            if !self.running.is_empty() {
                self.begin_step(end);
            }
        }
        done
    }

    fn begin_step(&mut self, at_us: u64) {
        let models: IndexSet<&ModelName> = self.running.values().map(|(model, _)| model).collect();
        let (sequences, adapters) = (self.running.len() as u64, models.len() as u64);
        self.steps += 1;
        self.sequences += sequences;
        self.adapters += adapters;
        let duration_us = BASE_STEP_US + sequences * SEQUENCE_US + adapters * ADAPTER_US;
        self.step_end_us = Some(at_us + duration_us);
    }
}
