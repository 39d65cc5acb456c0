//! Tells when this process was not run: nothing it does can keep answers in time then, and nothing else shows it.

use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{warn, Logger};

/// Time between looks.
const EVERY: Duration = Duration::from_millis(500);
/// A look that comes later than this is worth a line.
const LATE: Duration = Duration::from_millis(400);

/// What the system has counted for this process's first thread, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counted {
    /// Time on a core.
    ran: u64,
    /// Time ready to run and without a core.
    waited: u64,
}

impl Counted {
    /// From the form of `/proc/PID/schedstat`; nothing where the system has none.
    fn parse(text: &str) -> Counted {
        let mut numbers = text.split_whitespace().map(|n| n.parse().unwrap_or(0));
        Counted { ran: numbers.next().unwrap_or(0), waited: numbers.next().unwrap_or(0) }
    }

    fn now() -> Counted {
        Counted::parse(&std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default())
    }
}

/// Looks for as long as the program runs. Each line says for how long it stood still, and how much of that it ran or
/// waited for a core: where both are far less, it was stopped from outside.
pub async fn watch(log: Logger) {
    let mut counted = Counted::now();
    loop {
        let due = Instant::now() + EVERY;
        Timer::at(due).await;
        let late = due.elapsed();
        let now = Counted::now();
        if late > LATE {
            let ms = |from: u64, to: u64| to.saturating_sub(from) / 1_000_000;
            warn!(log, "stood still"; "ms" => late.as_millis() as u64,
                "ran_ms" => ms(counted.ran, now.ran), "waited_ms" => ms(counted.waited, now.waited));
        }
        counted = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_the_system_counts_is_read() {
        assert_eq!(Counted::parse("12 345 6\n"), Counted { ran: 12, waited: 345 });
        assert_eq!(Counted::parse(""), Counted::default());
    }
}
