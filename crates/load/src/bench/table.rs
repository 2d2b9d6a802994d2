//! The comparison as a table.

use {
    super::{BenchPolicy, outcome::Outcome},
    crate::{cli::Fault, live::LoadShape},
    clap::ValueEnum,
    serde_json::{Value, json},
    std::fmt::Write,
};

/// The runs of one policy under one fault in one deployment.
pub(crate) struct Row {
    pub(crate) shape: LoadShape,
    pub(crate) fault: Fault,
    pub(crate) policy: BenchPolicy,
    pub(crate) runs: Vec<Outcome>,
}

/// Median, least and greatest value of a figure over the seeds.
struct Spread {
    median: f64,
    least: f64,
    greatest: f64,
}

fn spread(runs: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> Spread {
    let mut all: Vec<f64> = runs.iter().map(figure).collect();
    all.sort_by(f64::total_cmp);
    let at = |index: usize| all.get(index).copied().unwrap_or(0.0);
    Spread { median: at(all.len() / 2), least: at(0), greatest: at(all.len().saturating_sub(1)) }
}

#[expect(clippy::cast_precision_loss, reason = "figures of one run fit a f64")]
fn to_f64(figure: u64) -> f64 {
    figure as f64
}

fn fault_name(fault: Fault) -> String {
    fault.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default()
}

/// The table as text: medians over the seeds, with the least and greatest value in brackets.
pub(crate) fn text(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<12} {:<16} {:<17} {:>24} {:>6} {:>8} {:>9} {:>20} {:>6} {:>7} {:>9} {:>9}",
        "deployment",
        "fault",
        "policy",
        "stalled+refused of 1000",
        "floor",
        "refused",
        "stall p95",
        "batch efficiency",
        "late",
        "loads",
        "recovery",
        "decision"
    );
    for row in rows {
        let stalls = spread(&row.runs, Outcome::stalled_or_refused_per_1000);
        let refusals = spread(&row.runs, Outcome::refused_per_1000);
        let p95 = spread(&row.runs, |r| to_f64(r.stall_p95_ms()));
        let efficiency = spread(&row.runs, Outcome::batch_efficiency);
        let late = spread(&row.runs, |r| to_f64(r.late));
        let loads = spread(&row.runs, |r| to_f64(r.loads));
        let decision = spread(&row.runs, |r| to_f64(r.mean_decision_ns()));
        let mut recoveries: Vec<u64> = row.runs.iter().filter_map(|r| r.recovery_s).collect();
        recoveries.sort_unstable();
        let recovery = recoveries.get(recoveries.len() / 2).map(|s| format!("{s} s"));
        let _ = writeln!(
            text,
            "{:<12} {:<16} {:<17} {:>24} {:>6.1} {:>8.1} {:>6.0} ms {:>20} {:>6.0} {:>7.0} {:>9} {:>6.0} ns",
            row.shape.as_str(),
            fault_name(row.fault),
            row.policy.name,
            format!("{:.1} ({:.1}..{:.1})", stalls.median, stalls.least, stalls.greatest),
            spread(&row.runs, Outcome::first_uses_per_1000).median,
            refusals.median,
            p95.median,
            format!(
                "{:.3} ({:.2}..{:.2})",
                efficiency.median, efficiency.least, efficiency.greatest
            ),
            late.median,
            loads.median,
            recovery.unwrap_or_else(|| "-".to_owned()),
            decision.median,
        );
    }
    text
}

/// The table as JSON.
pub(crate) fn json(rows: &[Row]) -> Value {
    let row = |row: &Row| {
        let spread_json = |figure: fn(&Outcome) -> f64| {
            let spread = spread(&row.runs, figure);
            json!({ "median": spread.median, "least": spread.least, "greatest": spread.greatest })
        };
        json!({
            "deployment": row.shape.as_str(),
            "fault": fault_name(row.fault),
            "policy": row.policy.name,
            "seeds": row.runs.len(),
            "stalled_or_refused_of_1000": spread_json(Outcome::stalled_or_refused_per_1000),
            "first_uses_of_1000": spread_json(Outcome::first_uses_per_1000),
            "refused_of_1000": spread_json(Outcome::refused_per_1000),
            "stall_p95_ms": spread_json(|r| to_f64(r.stall_p95_ms())),
            "batch_efficiency": spread_json(Outcome::batch_efficiency),
            "late": spread_json(|r| to_f64(r.late)),
            "loads": spread_json(|r| to_f64(r.loads)),
            "in_transit_max": row.runs.iter().map(|r| r.in_transit_max).max(),
            "stalled_live": spread_json(|r| to_f64(r.stalled_live)),
            "broken": spread_json(|r| to_f64(r.broken)),
            "decision_ns": spread_json(|r| to_f64(r.mean_decision_ns())),
        })
    };
    json!(rows.iter().map(row).collect::<Vec<_>>())
}
