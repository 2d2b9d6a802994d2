//! What a run of load found.

use {
    super::request::RequestResult,
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::fmt::Write,
};

/// Longest time counted, in milliseconds.
const HISTOGRAM_MAX_MS: u64 = 600_000;

/// Significant digits of times.
const HISTOGRAM_DIGITS: u8 = 3;

/// What a run of load found.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Refusals that say that the request did not run.
    pub refused: u64,
    /// Answers that say that the outcome is not known, and streams that broke off.
    pub unknown: u64,
    /// Requests that got no answer at all.
    pub unanswered: u64,
    /// Answers that did not come from the adapter and version named, or not whole.
    pub wrong: u64,
    /// Requests that waited for a load.
    pub stalled: u64,
    /// Refusals that do not say when to come back.
    pub without_retry_after: u64,
    /// Answers by outcome and reason.
    pub reasons: IndexMap<String, u64>,
    /// Sequences in all engine steps.
    pub sequences: u64,
    /// Distinct adapters in all engine steps.
    pub adapters: u64,
    /// Engine steps.
    pub steps: u64,
    stall_times: Histogram<u64>,
    first_part_times: Histogram<u64>,
    whole_answer_times: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS)
                .expect("the bounds are right")
        };
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            unanswered: 0,
            wrong: 0,
            stalled: 0,
            without_retry_after: 0,
            reasons: IndexMap::new(),
            sequences: 0,
            adapters: 0,
            steps: 0,
            stall_times: histogram(),
            first_part_times: histogram(),
            whole_answer_times: histogram(),
        }
    }
}

impl LoadReport {
    /// Counts what came of one request.
    pub(super) fn record(&mut self, got: &RequestResult) {
        self.sent += 1;
        match got.outcome.as_str() {
            "done" => {
                self.answered += 1;
                self.first_part_times.saturating_record(got.first_ms.max(1));
                self.whole_answer_times.saturating_record(got.total_ms.max(1));
            }
            "not_run" | "not_sent" => self.refused += 1,
            "unknown" | "cut" => self.unknown += 1,
            _ => self.unanswered += 1,
        }
        if got.outcome != "done" {
            let reason = format!("{}/{}", got.outcome, got.reason);
            *self.reasons.entry(reason).or_default() += 1;
            // one that was not even connected has no headers
            let told = got.retry_after || got.outcome == "not_sent";
            self.without_retry_after += u64::from(!told);
        }
        self.wrong += u64::from(got.wrong);
        if got.stall_ms > 0 {
            self.stalled += 1;
            self.stall_times.saturating_record(got.stall_ms);
        }
    }

    /// Sequences for each distinct adapter in a step: 1 when no two ever share one.
    #[must_use]
    pub fn batch_efficiency(&self) -> f64 {
        ratio(self.sequences, self.adapters)
    }

    /// Sequences in a step.
    #[must_use]
    pub fn batch_fill(&self) -> f64 {
        ratio(self.sequences, self.steps)
    }

    /// The report as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({
            "sent": self.sent,
            "answered": self.answered,
            "refused": self.refused,
            "unknown": self.unknown,
            "silent": self.unanswered,
            "wrong": self.wrong,
            "reasons": self.reasons,
            "without_retry_after": self.without_retry_after,
            "stalled": self.stalled,
            "stall_ms": percentiles(&self.stall_times),
            "first_part_ms": percentiles(&self.first_part_times),
            "whole_ms": percentiles(&self.whole_answer_times),
            "batch_efficiency": self.batch_efficiency(),
            "batch_fill": self.batch_fill(),
        })
    }

    /// The report as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counts = [
            ("sent", self.sent),
            ("answered whole", self.answered),
            ("refused (not run)", self.refused),
            ("unknown", self.unknown),
            ("no answer", self.unanswered),
            ("wrong outputs", self.wrong),
            ("stalled by loads", self.stalled),
        ];
        for (name, count) in counts {
            let _ = writeln!(text, "{name:<20} {count:>8}");
        }
        for (reason, count) in &self.reasons {
            let _ = writeln!(text, "  {reason:<26} {count:>6}");
        }
        let times = [
            ("stalls", &self.stall_times),
            ("first part", &self.first_part_times),
            ("whole answer", &self.whole_answer_times),
        ];
        for (name, histogram) in times {
            let at = |q| histogram.value_at_quantile(q);
            let (p50, p95, p99, max) = (at(0.5), at(0.95), at(0.99), histogram.max());
            let _ = writeln!(
                text,
                "{name:<20} p50 {p50:>6} ms  p95 {p95:>6} ms  p99 {p99:>6} ms  max {max:>6} ms"
            );
        }
        let (efficiency, fill) = (self.batch_efficiency(), self.batch_fill());
        let _ = writeln!(text, "batch efficiency     {efficiency:>8.3} sequences for each adapter");
        let _ = writeln!(text, "batch fill           {fill:>8.3} sequences in a step");
        text
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run fit a f64")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / (whole.max(1)) as f64
}

fn percentiles(histogram: &Histogram<u64>) -> Value {
    let at = |q| histogram.value_at_quantile(q);
    json!({
        "p50": at(0.5), "p95": at(0.95), "p99": at(0.99),
        "max": histogram.max(), "sum": histogram.mean() * ratio(histogram.len(), 1),
    })
}
