//! A standstill of the whole process of the tests, alone in a program of its own as it stops all of its
//! threads.

use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use umberloom_protocol_fakes::standstill::monitor;

/// How long the process is stopped.
const STOPPED: Duration = Duration::from_millis(150);

#[test]
fn a_standstill_of_the_process_is_recorded_with_its_length() {
    let monitor = monitor();
    thread::sleep(Duration::from_millis(50));
    let start = Instant::now();
    let pid = std::process::id();
    let script = format!("kill -STOP {pid}; sleep {}; kill -CONT {pid}", STOPPED.as_secs_f64());
    assert!(Command::new("sh").args(["-c", &script]).status().expect("a shell").success());
    let end = Instant::now();
    let longest = monitor.longest_between(start, end).expect("a standstill");
    assert!(longest >= STOPPED / 2 && longest <= end - start, "{longest:?}");
    assert_eq!(
        monitor.longest_between(start - Duration::from_secs(60), start - Duration::from_secs(50)),
        None
    );
}
