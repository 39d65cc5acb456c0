//! The results of the demo, as a table and a summary.

use std::time::Duration;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use hdrhistogram::Histogram;

use crate::caller::{RequestOutcome, SentRequest};

/// Builds a table with one row per phase. `call_counts` has the calls to dependencies in each phase and the
/// number of requests that they were for.
pub fn table(phase_names: &[&str], call_counts: &[(u64, u64)], sent: &[SentRequest]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "phase",
        "requests",
        "whole",
        "partial",
        "refused",
        "failed",
        "unanswered",
        "p50 ms",
        "p99 ms",
        "p99 of budget",
        "late",
        "calls per request",
    ]);
    for (phase, name) in phase_names.iter().enumerate() {
        let in_phase: Vec<&SentRequest> = sent.iter().filter(|s| s.phase == phase).collect();
        let percentage = |outcome: RequestOutcome| {
            let count = in_phase.iter().filter(|s| s.outcome == outcome).count();
            format!("{:.1} %", 100.0 * count as f64 / in_phase.len().max(1) as f64)
        };
        let durations = histogram_of(in_phase.iter().filter_map(|s| served_duration_us(s)));
        let of_budget =
            histogram_of(in_phase.iter().filter_map(|s| Some(budget_permille(s, served_duration_us(s)?))));
        let (calls, requests) = call_counts.get(phase).copied().unwrap_or_default();
        table.add_row([
            (*name).to_owned(),
            in_phase.len().to_string(),
            percentage(RequestOutcome::Complete),
            percentage(RequestOutcome::Partial),
            percentage(RequestOutcome::Rejected),
            percentage(RequestOutcome::Failed),
            in_phase.iter().filter(|s| s.outcome == RequestOutcome::Unanswered).count().to_string(),
            format!("{:.0}", durations.value_at_quantile(0.5) as f64 / 1_000.0),
            format!("{:.0}", durations.value_at_quantile(0.99) as f64 / 1_000.0),
            format!("{:.2}", of_budget.value_at_quantile(0.99) as f64 / 1_000.0),
            in_phase.iter().filter(|s| is_late(s)).count().to_string(),
            format!("{:.3}", calls as f64 / requests.max(1) as f64),
        ]);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Summarizes all phases in a sentence or two.
pub fn summary(sent: &[SentRequest], max_send_delay: Duration) -> String {
    let late = sent.iter().filter(|s| is_late(s)).count();
    let unanswered = sent.iter().filter(|s| s.outcome == RequestOutcome::Unanswered).count();
    let mut text = format!(
        "{} requests: {unanswered} unanswered, {late} answered past their budget and 60 ms of grace.",
        sent.len()
    );
    if max_send_delay > Duration::from_millis(20) {
        text += &format!(
            " Sending fell behind by up to {} ms: this machine was busy.",
            max_send_delay.as_millis()
        );
    }
    text
}

/// The latency of a served request in microseconds, from the time it was due to be sent.
fn served_duration_us(sent: &SentRequest) -> Option<u64> {
    let answered_at = sent
        .answered_at
        .filter(|_| matches!(sent.outcome, RequestOutcome::Complete | RequestOutcome::Partial))?;
    Some(answered_at.saturating_sub(sent.scheduled_at).as_micros() as u64)
}

/// A duration in microseconds as thousandths of the request's budget.
fn budget_permille(sent: &SentRequest, duration: u64) -> u64 {
    duration * 1_000 / sent.budget.as_micros().max(1) as u64
}

/// Whether the answer, whatever its outcome, came later than the budget and the grace allow.
fn is_late(sent: &SentRequest) -> bool {
    const GRACE: Duration = Duration::from_millis(60);
    sent.answered_at.is_some_and(|answered_at| answered_at > sent.scheduled_at + sent.budget + GRACE)
}

fn histogram_of(durations: impl Iterator<Item = u64>) -> Histogram<u64> {
    // Creation only fails for bounds that are out of order.
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    durations.for_each(|duration| histogram.saturating_record(duration.max(1)));
    histogram
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sent_request(phase: usize, took_ms: u64, outcome: RequestOutcome) -> SentRequest {
        let scheduled_at = Duration::from_secs(1);
        let answered_at =
            (outcome != RequestOutcome::Unanswered).then_some(scheduled_at + Duration::from_millis(took_ms));
        SentRequest {
            phase,
            scheduled_at,
            budget: Duration::from_millis(400),
            class: 0,
            resent: false,
            answered_at,
            outcome,
        }
    }

    #[test]
    fn outcomes_and_latencies_are_grouped_by_phase() {
        let sent = [
            sent_request(0, 100, RequestOutcome::Complete),
            sent_request(0, 200, RequestOutcome::Partial),
            sent_request(0, 1, RequestOutcome::Rejected),
            sent_request(0, 470, RequestOutcome::Failed),
            sent_request(1, 0, RequestOutcome::Unanswered),
        ];
        let text = table(&["first", "second"], &[(22, 20), (0, 0)], &sent).to_string();
        let row: Vec<&str> = text.lines().nth(2).expect("a row").split('|').map(str::trim).collect();
        assert_eq!(row[1..8], ["first", "4", "25.0 %", "25.0 %", "25.0 %", "25.0 %", "0"]);
        assert_eq!(row[8..13], ["100", "200", "0.50", "1", "1.100"]);
        assert!(text.lines().nth(3).is_some_and(|l| l.contains("second")));
        let summary_text = summary(&sent, Duration::from_millis(30));
        assert!(
            summary_text.contains("1 unanswered, 1 answered past")
                && summary_text.contains("behind by up to 30 ms"),
            "{summary_text}"
        );
    }
}
