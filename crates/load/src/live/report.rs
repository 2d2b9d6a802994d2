//! The report of a run of load.

use {
    super::request::RequestResult,
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::fmt::Write,
};

/// Largest time that the histograms hold.
const HISTOGRAM_MAX_MS: u64 = 600_000;

/// Significant decimal digits of times.
const HISTOGRAM_DIGITS: u8 = 3;

/// Counters and times of a run of load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that were refused without being run.
    pub refused: u64,
    /// Answers with an unknown outcome, and streams that broke off.
    pub unknown: u64,
    /// Requests without any answer.
    pub unanswered: u64,
    /// Answers that are incomplete or from another adapter or version.
    pub wrong: u64,
    /// Requests that waited for an adapter load.
    pub stalled: u64,
    /// Refusals without a `retry-after` header.
    pub without_retry_after: u64,
    /// Failures by outcome and reason.
    pub reasons: IndexMap<String, u64>,
    /// Sequences, summed over all engine steps.
    pub sequences: u64,
    /// Distinct adapters, summed over all engine steps.
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
    /// Adds the result of one request.
    pub(super) fn record(&mut self, result: &RequestResult) {
        self.sent += 1;
        match result.outcome.as_str() {
            "done" => {
                self.answered += 1;
                self.first_part_times.saturating_record(result.first_part_ms.max(1));
                self.whole_answer_times.saturating_record(result.total_ms.max(1));
            }
            "not_run" | "not_sent" => self.refused += 1,
            "unknown" | "cut" => self.unknown += 1,
            _ => self.unanswered += 1,
        }
        if result.outcome != "done" {
            let reason = format!("{}/{}", result.outcome, result.reason);
            *self.reasons.entry(reason).or_default() += 1;
            // a request that could not be sent has no response headers
            let has_retry_after = result.has_retry_after || result.outcome == "not_sent";
            self.without_retry_after += u64::from(!has_retry_after);
        }
        self.wrong += u64::from(result.wrong);
        if result.stall_ms > 0 {
            self.stalled += 1;
            self.stall_times.saturating_record(result.stall_ms);
        }
    }

    /// Sequences per distinct adapter in a step; 1 when no two sequences share an adapter.
    #[must_use]
    pub fn batch_efficiency(&self) -> f64 {
        ratio(self.sequences, self.adapters)
    }

    /// Sequences per step.
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
            ("complete answers", self.answered),
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
        let _ = writeln!(text, "batch efficiency     {efficiency:>8.3} sequences per adapter");
        let _ = writeln!(text, "batch fill           {fill:>8.3} sequences per step");
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
