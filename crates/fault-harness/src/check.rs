//! What must always hold, read from what happened. Each check gives the breaches that it found.

use std::collections::BTreeMap;

use umberloom_protocol_fakes::dependency::{peak_concurrency, CallInterval};

use crate::history::Event;
use crate::traffic::{Outcome, RequestOutcome};

/// At no instant were more calls in use at the shared dependency than it survives.
pub fn capacity_exceeded(spans: &[CallInterval], whole: usize) -> Vec<String> {
    let (most, _) = peak_concurrency(spans);
    let breach = format!("{most} calls at once at the shared dependency, which survives {whole}");
    (most > whole).then_some(breach).into_iter().collect()
}

/// Every request had one answer, unless its connection ended with its server.
pub fn lost_or_extra_answers(asked: &[RequestOutcome]) -> Vec<String> {
    let wrong = |a: &&RequestOutcome| matches!(a.outcome, Outcome::Lost | Outcome::Extra);
    asked
        .iter()
        .filter(wrong)
        .map(|a| format!("a request to n{} ended as {:?}", a.server + 1, a.outcome))
        .collect()
}

/// Standings changed no faster than their damping, but for becoming unsure and getting over that.
pub fn flapping(events: &[Event], damp_ms: u64) -> Vec<String> {
    let mut last: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for event in events {
        if event.kind == "process" {
            *starts.entry(&event.source).or_default() += 1;
        }
        if event.kind != "log" || event.details["msg"] != "partition status changed" {
            continue;
        }
        let ms = event.details["ms"].as_u64().unwrap_or(0);
        let unsure = event.details["to"] == "unsure" || event.details["from"] == "unsure";
        let key = (event.source.as_str(), starts.get(event.source.as_str()).copied().unwrap_or(0));
        if let Some(before) =
            last.insert(key, ms).filter(|before| !unsure && ms >= *before && ms - before + 1 < damp_ms)
        {
            found.push(format!(
                "{} changed its standing {} ms after the last time",
                event.source,
                ms - before
            ));
        }
    }
    found
}

/// No server said that it panicked.
pub fn panics(events: &[Event]) -> Vec<String> {
    let said =
        |e: &&Event| e.kind == "log" && e.details["msg"].as_str().is_some_and(|m| m.contains("panicked"));
    events.iter().filter(said).map(|e| format!("{}: {}", e.source, e.details["msg"])).collect()
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use serde_json::json;

    use super::*;

    #[test]
    fn each_check_finds_a_planted_breach() {
        let start = Instant::now();
        let span = |from: u64, answered: Option<u64>, stated: u64| {
            let at = |ms| start + Duration::from_millis(ms);
            CallInterval {
                started_at: at(from),
                answered_at: answered.map(at),
                stated_timeout: Duration::from_millis(stated),
            }
        };
        // The second is never answered: it counts until the time that it stated.
        let spans =
            [span(0, Some(10), 100), span(5, None, 30), span(20, Some(40), 100), span(36, Some(50), 100)];
        assert_eq!(capacity_exceeded(&spans, 2), Vec::<String>::new());
        assert_eq!(capacity_exceeded(&spans, 1).len(), 1);

        let asked = |end| RequestOutcome { server: 0, at_us: 0, took: Duration::ZERO, outcome: end };
        let fine = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Broken].map(asked);
        assert!(lost_or_extra_answers(&fine).is_empty());
        assert_eq!(lost_or_extra_answers(&[asked(Outcome::Lost), asked(Outcome::Extra)]).len(), 2);

        let line = |ms: u64, from: &str, to: &str| Event {
            at_us: ms,
            source: "n1".to_owned(),
            kind: "log",
            details: json!({"msg": "partition status changed", "ms": ms, "from": from, "to": to}),
        };
        let calm = [line(0, "unsure", "whole"), line(600, "whole", "alone"), line(700, "alone", "unsure")];
        assert!(flapping(&calm, 500).is_empty());
        assert_eq!(flapping(&[line(0, "unsure", "whole"), line(90, "whole", "alone")], 500).len(), 1);

        let said = Event {
            at_us: 0,
            source: "n1".to_owned(),
            kind: "log",
            details: json!({"msg": "thread panicked at"}),
        };
        assert_eq!(panics(&[said]).len(), 1);
    }
}
