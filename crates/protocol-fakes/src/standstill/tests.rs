use super::*;

/// Guards against an excuse that is too wide: a standstill explains a late exit only on a core of the server,
/// and only if it takes half of the time that the server has for it.
#[test]
fn only_a_standstill_of_the_servers_core_during_its_exit_explains_a_late_one() {
    let killed_at = Instant::now() + Duration::from_secs(1);
    let before = |ms: u64| killed_at - Duration::from_millis(ms);
    let standstill =
        |core, from, to| Standstill { core: Some(core), started_at: before(from), ended_at: before(to) };
    let delay = |standstill: Standstill| longest_exit_delay(&[standstill], &[2, 5], killed_at);
    assert_eq!(delay(standstill(5, 40, 5)), Some(Duration::from_millis(10)));
    assert_eq!(delay(standstill(2, 12, 0)), Some(Duration::from_millis(12)));
    // Another core; over before the exit began; too short.
    for no_excuse in [standstill(3, 40, 5), standstill(5, 90, 16), standstill(5, 40, 9), standstill(2, 10, 3)]
    {
        assert_eq!(delay(no_excuse), None, "{no_excuse:?}");
    }
}

#[test]
fn the_cores_of_this_process_are_among_those_that_it_may_use() {
    let cores = cores_of_process(std::process::id());
    assert!(!cores.is_empty() && cores.iter().all(|core| usable_cores().contains(&Some(*core))), "{cores:?}");
    assert_eq!(last_core("1 (a) b) S"), None);
}
