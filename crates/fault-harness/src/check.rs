//! Invariants, checked against a recorded history. Each check returns a description of each violation.

use std::collections::BTreeMap;

use umberloom_protocol_fakes::dependency::{peak_concurrency, CallInterval};

use crate::history::Event;
use crate::traffic::{Outcome, RequestOutcome};

/// Checks that the calls in progress at the shared dependency never exceeded its capacity.
pub fn capacity_exceeded(intervals: &[CallInterval], capacity: usize) -> Vec<String> {
    let (peak, _) = peak_concurrency(intervals);
    let violation = format!("{peak} concurrent calls at the shared dependency, whose capacity is {capacity}");
    (peak > capacity).then_some(violation).into_iter().collect()
}

/// Checks that every request was answered exactly once, unless its connection ended with its server.
pub fn lost_or_extra_answers(requests: &[RequestOutcome]) -> Vec<String> {
    let wrong = |r: &&RequestOutcome| matches!(r.outcome, Outcome::Lost | Outcome::Extra);
    requests
        .iter()
        .filter(wrong)
        .map(|r| format!("a request to n{} ended as {:?}", r.server + 1, r.outcome))
        .collect()
}

/// Checks that no partition status changed again within `damp_ms` milliseconds. Changes to and from `unsure`
/// are exempt: the damping does not apply to them.
pub fn flapping(events: &[Event], damp_ms: u64) -> Vec<String> {
    // The time of the last change by server and process, in milliseconds of the server's own clock.
    let mut last_changes: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut start_counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        if event.kind == "process" {
            *start_counts.entry(&event.source).or_default() += 1;
        }
        if event.kind != "log" || event.details["msg"] != "partition status changed" {
            continue;
        }
        let ms = event.details["ms"].as_u64().unwrap_or(0);
        let unsure = event.details["to"] == "unsure" || event.details["from"] == "unsure";
        let process = (event.source.as_str(), start_counts.get(event.source.as_str()).copied().unwrap_or(0));
        let previous = last_changes.insert(process, ms);
        // Both times are rounded down, so the interval may have been up to 1 ms longer than their difference.
        if let Some(previous) =
            previous.filter(|previous| !unsure && ms >= *previous && ms - previous + 1 < damp_ms)
        {
            violations.push(format!(
                "{} changed its partition status {} ms after the previous change",
                event.source,
                ms - previous
            ));
        }
    }
    violations
}

/// Checks that no server logged a panic.
pub fn panics(events: &[Event]) -> Vec<String> {
    let panicked =
        |e: &&Event| e.kind == "log" && e.details["msg"].as_str().is_some_and(|m| m.contains("panicked"));
    events.iter().filter(panicked).map(|e| format!("{}: {}", e.source, e.details["msg"])).collect()
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use serde_json::json;

    use super::*;

    #[test]
    fn each_check_detects_an_injected_violation() {
        let start = Instant::now();
        let call = |from: u64, answered: Option<u64>, stated: u64| {
            let at = |ms| start + Duration::from_millis(ms);
            CallInterval {
                started_at: at(from),
                answered_at: answered.map(at),
                stated_timeout: Duration::from_millis(stated),
            }
        };
        // The second is never answered, so it counts as in progress until its stated timeout.
        let calls =
            [call(0, Some(10), 100), call(5, None, 30), call(20, Some(40), 100), call(36, Some(50), 100)];
        assert_eq!(capacity_exceeded(&calls, 2), Vec::<String>::new());
        assert_eq!(capacity_exceeded(&calls, 1).len(), 1);

        let request = |outcome| RequestOutcome { server: 0, at_us: 0, took: Duration::ZERO, outcome };
        let allowed = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Broken].map(request);
        assert!(lost_or_extra_answers(&allowed).is_empty());
        assert_eq!(lost_or_extra_answers(&[request(Outcome::Lost), request(Outcome::Extra)]).len(), 2);

        let status_change = |ms: u64, from: &str, to: &str| Event {
            at_us: ms,
            source: "n1".to_owned(),
            kind: "log",
            details: json!({"msg": "partition status changed", "ms": ms, "from": from, "to": to}),
        };
        let damped = [
            status_change(0, "unsure", "whole"),
            status_change(600, "whole", "alone"),
            status_change(700, "alone", "unsure"),
        ];
        assert!(flapping(&damped, 500).is_empty());
        let too_soon = [status_change(0, "unsure", "whole"), status_change(90, "whole", "alone")];
        assert_eq!(flapping(&too_soon, 500).len(), 1);

        let panic_line = Event {
            at_us: 0,
            source: "n1".to_owned(),
            kind: "log",
            details: json!({"msg": "thread panicked at"}),
        };
        assert_eq!(panics(&[panic_line]).len(), 1);
    }
}
