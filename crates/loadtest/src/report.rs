//! What came of it, as a table.

use std::time::Duration;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use hdrhistogram::Histogram;

use crate::caller::{End, Sent};

/// One line a phase.
pub fn table(names: &[&str], counts: &[(u64, u64)], sent: &[Sent]) -> Table {
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
        "calls a first",
    ]);
    for (phase, name) in names.iter().enumerate() {
        let here: Vec<&Sent> = sent.iter().filter(|s| s.phase == phase).collect();
        let share = |end: End| {
            let count = here.iter().filter(|s| s.end == end).count();
            format!("{:.1} %", 100.0 * count as f64 / here.len().max(1) as f64)
        };
        let took = times(here.iter().filter_map(|s| served(s)));
        let of_budget = times(here.iter().filter_map(|s| Some(share_of_budget(s, served(s)?))));
        let (calls, requests) = counts.get(phase).copied().unwrap_or_default();
        table.add_row([
            (*name).to_owned(),
            here.len().to_string(),
            share(End::Whole),
            share(End::Partial),
            share(End::Refused),
            share(End::Failed),
            here.iter().filter(|s| s.end == End::Unanswered).count().to_string(),
            format!("{:.0}", took.value_at_quantile(0.5) as f64 / 1_000.0),
            format!("{:.0}", took.value_at_quantile(0.99) as f64 / 1_000.0),
            format!("{:.2}", of_budget.value_at_quantile(0.99) as f64 / 1_000.0),
            here.iter().filter(|s| is_late(s)).count().to_string(),
            format!("{:.3}", calls as f64 / requests.max(1) as f64),
        ]);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// The whole of it in a sentence or two.
pub fn summary(sent: &[Sent], behind: Duration) -> String {
    let late = sent.iter().filter(|s| is_late(s)).count();
    let unanswered = sent.iter().filter(|s| s.end == End::Unanswered).count();
    let mut text = format!(
        "{} requests: {unanswered} unanswered, {late} answered past their due time and 60 ms of grace.",
        sent.len()
    );
    if behind > Duration::from_millis(20) {
        text += &format!(" Sending fell behind by up to {} ms: this machine was busy.", behind.as_millis());
    }
    text
}

/// How long a served request took, from the time it was drawn for.
fn served(sent: &Sent) -> Option<u64> {
    let ended = sent.ended.filter(|_| matches!(sent.end, End::Whole | End::Partial))?;
    Some(ended.saturating_sub(sent.at).as_micros() as u64)
}

/// In thousandths.
fn share_of_budget(sent: &Sent, took: u64) -> u64 {
    took * 1_000 / sent.budget.as_micros().max(1) as u64
}

/// Whatever the answer was, it came later than the rule allows.
fn is_late(sent: &Sent) -> bool {
    const GRACE: Duration = Duration::from_millis(60);
    sent.ended.is_some_and(|ended| ended > sent.at + sent.budget + GRACE)
}

fn times(all: impl Iterator<Item = u64>) -> Histogram<u64> {
    // Bounds that are in order are never refused.
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
    all.for_each(|took| histogram.saturating_record(took.max(1)));
    histogram
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(phase: usize, took_ms: u64, end: End) -> Sent {
        let at = Duration::from_secs(1);
        let ended = (end != End::Unanswered).then_some(at + Duration::from_millis(took_ms));
        Sent { phase, at, budget: Duration::from_millis(400), class: 0, again: false, ended, end }
    }

    #[test]
    fn shares_and_times_are_by_phase() {
        let sent = [
            one(0, 100, End::Whole),
            one(0, 200, End::Partial),
            one(0, 1, End::Refused),
            one(0, 470, End::Failed),
            one(1, 0, End::Unanswered),
        ];
        let text = table(&["first", "second"], &[(22, 20), (0, 0)], &sent).to_string();
        let row: Vec<&str> = text.lines().nth(2).expect("a row").split('|').map(str::trim).collect();
        assert_eq!(row[1..8], ["first", "4", "25.0 %", "25.0 %", "25.0 %", "25.0 %", "0"]);
        assert_eq!(row[8..13], ["100", "200", "0.50", "1", "1.100"]);
        assert!(text.lines().nth(3).is_some_and(|l| l.contains("second")));
        let words = summary(&sent, Duration::from_millis(30));
        assert!(
            words.contains("1 unanswered, 1 answered past") && words.contains("behind by up to 30 ms"),
            "{words}"
        );
    }
}
