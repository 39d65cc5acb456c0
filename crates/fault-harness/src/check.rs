//! Invariants, checked against a recorded history. Each check returns a description of each violation.

use std::collections::BTreeMap;
use std::time::Duration;

use umberloom_protocol_fakes::dependency::{peak_concurrency, CallInterval};
use umberloom_protocol_fakes::standstill::Standstill;

use crate::history::Event;
use crate::traffic::{Outcome, RequestOutcome};

/// A standstill of this process from this length on may delay a call by more than the `delivery-ms` of
/// [`crate::Options::loans`], with the time that it is on its way anyway.
const MIN_DELAYING_STANDSTILL: Duration = Duration::from_millis(50);
/// Time after a standstill in which this process reads what was sent to it meanwhile.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// Checks that the calls in progress at the shared dependency never exceeded its capacity.
///
/// The dependency and the relays before it run in this process. While the system does not run it, calls wait
/// to be read, and a server counts a call only until its stated time and `delivery-ms` have passed. So calls
/// that were read late because of a standstill of this process, not of a server, are left out. If these are
/// most of the calls, that is a violation too: too little was checked.
pub fn capacity_exceeded(
    intervals: &[CallInterval],
    capacity: usize,
    standstills: &[Standstill],
) -> Vec<String> {
    let delaying = standstills.iter().filter(|standstill| standstill.length() >= MIN_DELAYING_STANDSTILL);
    let delaying: Vec<&Standstill> = delaying.collect();
    let (late, in_time): (Vec<CallInterval>, Vec<CallInterval>) =
        intervals.iter().cloned().partition(|call| delaying.iter().any(|s| was_read_late(call, s)));
    let mut violations = Vec::new();
    let (peak, _) = peak_concurrency(&in_time);
    if peak > capacity {
        violations
            .push(format!("{peak} concurrent calls at the shared dependency, whose capacity is {capacity}"));
    }
    if late.len() > in_time.len() {
        violations.push(format!(
            "{} of {} calls were read in {} standstills of the checking process: no verdict",
            late.len(),
            intervals.len(),
            delaying.len()
        ));
    }
    if !late.is_empty() {
        eprintln!(
            "left out {} of {} calls, read in {} standstills of this process",
            late.len(),
            intervals.len(),
            delaying.len()
        );
    }
    violations
}

/// Whether a call was read when this process had to catch up with a standstill.
fn was_read_late(call: &CallInterval, standstill: &Standstill) -> bool {
    call.started_at >= standstill.started_at && call.started_at <= standstill.ended_at + BACKLOG_TIME
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

    /// Guards against an excuse that is too wide: only calls that were read in or right after a standstill
    /// which was long enough to delay them are left out.
    #[test]
    fn only_calls_delayed_by_a_standstill_of_this_process_are_left_out() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let call = |from: u64| CallInterval {
            started_at: at(from),
            answered_at: Some(at(from + 60)),
            stated_timeout: Duration::from_millis(300),
        };
        let standstill = |from, to| Standstill { core: None, started_at: at(from), ended_at: at(to) };
        // Three calls are in progress at 420 ms; the last two were read in the backlog of a standstill.
        let mut calls: Vec<CallInterval> = [0, 100, 200, 400, 410, 420].map(call).to_vec();
        assert_eq!(capacity_exceeded(&calls, 1, &[standstill(330, 405)]), Vec::<String>::new());
        for too_little in [standstill(360, 405), standstill(200, 340), standstill(500, 600)] {
            assert_eq!(capacity_exceeded(&calls, 1, &[too_little]).len(), 1, "{too_little:?}");
        }
        // What happens before and long after the standstill is checked as ever.
        calls.extend([700, 710].map(call));
        assert_eq!(capacity_exceeded(&calls, 1, &[standstill(330, 405)]).len(), 1);
        // A play that is one standstill shows nothing.
        let violations = capacity_exceeded(&calls, 1, &[standstill(0, 800)]);
        assert!(violations.iter().any(|violation| violation.contains("no verdict")), "{violations:?}");
    }

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
        assert_eq!(capacity_exceeded(&calls, 2, &[]), Vec::<String>::new());
        assert_eq!(capacity_exceeded(&calls, 1, &[]).len(), 1);

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
