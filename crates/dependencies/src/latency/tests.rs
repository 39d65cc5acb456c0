use super::*;

#[test]
fn quantiles_are_of_recent_calls() {
    let mut latency = LatencyWindow::new(0);
    (0..19).for_each(|_| latency.record(1, 1_000));
    assert_eq!(latency.quantile(1, 0.5), None);
    latency.record(1, 100_000);
    let near = |found: Option<Micros>, expected: Micros| {
        found.is_some_and(|f| f.abs_diff(expected) <= expected / 50)
    };
    assert!(near(latency.quantile(1, 0.5), 1_000) && near(latency.quantile(1, 1.0), 100_000));
    // In the next window the previous one is used until the new one has enough samples.
    latency.record(WINDOW, 5_000);
    assert!(near(latency.quantile(WINDOW, 0.5), 1_000));
    (0..20).for_each(|_| latency.record(WINDOW, 5_000));
    // A cached quantile is computed again only after some calls.
    (0..QUANTILE_REFRESH_CALLS).for_each(|_| latency.record(WINDOW, 5_000));
    assert!(near(latency.quantile(WINDOW, 0.5), 5_000));
    assert_eq!(latency.quantile(4 * WINDOW, 0.5), None);
}

#[test]
fn latencies_out_of_range_are_clamped() {
    let mut latency = LatencyWindow::new(0);
    (0..30).for_each(|n| latency.record(0, if n % 2 == 0 { 0 } else { Micros::MAX }));
    assert_eq!(latency.quantile(0, 0.1), Some(1));
    assert!(latency.quantile(0, 0.9).is_some_and(|q| q >= MAX_RECORDED_US));
}

#[test]
fn peak_rises_at_once_and_sinks_slowly() {
    let mut peak = PeakLatency::default();
    peak.record(0, 1_000);
    peak.record(10, 9_000);
    assert_eq!(peak.value(), 9_000.0);
    peak.record(1_000_000, 1_000);
    assert!(peak.value() > 7_000.0 && peak.value() < 9_000.0, "{}", peak.value());
    (1..200).for_each(|n| peak.record(1_000_000 + n * 100_000, 1_000));
    assert!(peak.value() < 1_100.0, "{}", peak.value());
}
