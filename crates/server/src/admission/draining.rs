//! The notice to drain, and the drain event that the controller gets because of it.

use umberloom::interface::{Event, Micros};

use super::AdmissionActor;

/// Notice that the process will be stopped.
#[derive(Clone, Copy)]
pub(super) struct DrainNotice {
    /// When the notice was received.
    pub(super) noticed_at: Micros,
    /// When the process will be stopped.
    pub(super) stop_at: Micros,
}

impl DrainNotice {
    /// The controller's drain event, with its durations computed at `now`.
    pub(super) fn event(&self, now: Micros) -> Event {
        Event::Drain {
            time_left: self.stop_at.saturating_sub(now),
            notified_ago: now.saturating_sub(self.noticed_at),
        }
    }

    /// Recomputes drain events at the time of the step. If the process was stalled since the notice was read,
    /// less time is left until the stop.
    pub(super) fn update_events(&self, events: &mut [Event], now: Micros) {
        for event in events {
            if matches!(event, Event::Drain { .. }) {
                *event = self.event(now);
            }
        }
    }
}

impl AdmissionActor {
    pub(super) fn handle_drain_notice(&mut self, now: Micros, notice: DrainNotice) {
        self.drain_notice = Some(notice);
        self.events.push(notice.event(now));
    }
}
