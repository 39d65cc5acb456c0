use super::*;

#[test]
fn scheduler_stats_are_read_and_zero_where_missing() {
    assert_eq!(SchedulerStats::parse("12 345 6\n"), SchedulerStats { running_ns: 12, waiting_ns: 345 });
    assert_eq!(SchedulerStats::parse(""), SchedulerStats::default());
}
