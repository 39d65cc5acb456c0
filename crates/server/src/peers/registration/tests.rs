use super::*;

fn registration(name: &str, servers: u32) -> Registration {
    let (_, commands) = async_channel::bounded(1);
    let log = Logger::root(slog::Discard, slog::o!());
    let mut registration = Registration::new(([127, 0, 0, 1], 1).into(), name, (servers, 7), commands, log);
    registration.accepting = Some(true);
    registration
}

/// Guards against servers that all retry every 100 ms in step while the announce service is down, and all at
/// once when it returns. All have the same seed in their settings, yet each has random delays of its own.
#[test]
fn reconnect_attempts_of_all_servers_are_spread_over_time() {
    for servers in [1, 6, 20, 30] {
        let mut attempts: Vec<Duration> = Vec::new();
        for index in 0..servers {
            let mut registration = registration(&format!("n{index}"), servers);
            registration.handle_report_result(true, false);
            let mut at = Duration::ZERO;
            while at < Duration::from_secs(30) {
                at += registration.report_delay();
                attempts.push(at);
            }
        }
        let window = Duration::from_micros(FLEET_RETRY_RATE.window);
        let attempts_in_window =
            |start: &Duration| attempts.iter().filter(|at| (*start..*start + window).contains(*at)).count();
        let max_in_window = attempts.iter().map(attempts_in_window).max().unwrap_or(0) as f64;
        assert!(
            max_in_window <= FLEET_RETRY_RATE.max_probes + 2.0 * FLEET_RETRY_RATE.max_probes.sqrt() + 2.0,
            "{servers}: {max_in_window}"
        );
    }
    // In a fleet of any size an entry is renewed well before it would expire.
    let mut large = registration("n0", 300);
    large.handle_report_result(true, false);
    assert!((0..1_000).all(|_| large.report_delay() <= Duration::from_micros(MAX_RETRY_INTERVAL)));
}

/// Guards against the announce service listing a leaving server as accepting: an earlier report that timed
/// out is read after the newer one.
#[test]
fn state_that_an_unconfirmed_report_may_overwrite_is_reported_again_soon() {
    let mut registration = registration("n0", 1);
    registration.handle_report_result(true, true);
    assert_eq!(registration.report_delay(), REPORT_INTERVAL);
    registration.handle_report_result(true, false);
    registration.accepting = Some(false);
    registration.handle_report_result(false, true);
    assert!(registration.report_delay() < REPORT_INTERVAL / 2);
    registration.handle_report_result(false, true);
    assert_eq!(registration.report_delay(), REPORT_INTERVAL);
    // A late report of the same state does no harm, so no early repeat is needed.
    registration.handle_report_result(false, false);
    registration.handle_report_result(false, true);
    assert_eq!(registration.report_delay(), REPORT_INTERVAL);
}
