//! Logs the events that membership reports.

use slog::{info, warn, Logger};
use umberloom_membership::{Event, Micros};

/// Writes one log line for the event.
pub(super) fn log_event(log: &Logger, now: Micros, event: Event) {
    match event {
        Event::PartitionStatusChanged { from, to, cause } => {
            info!(log, "partition status changed"; "from" => %from, "to" => %to, "cause" => cause, "ms" => now / 1_000);
        }
        Event::MemberStateChanged { name, from, to, cause } => {
            info!(log, "member state changed"; "name" => &*name, "from" => %from, "to" => %to, "cause" => cause);
        }
        Event::NameConflict { name, earlier_boot_id, later_boot_id } => {
            warn!(log, "name conflict: two processes use one name"; "name" => &*name,
                "earlier_boot_id" => earlier_boot_id, "later_boot_id" => later_boot_id);
        }
        Event::Fenced { by_boot_id } => {
            warn!(log, "name conflict: fenced by newer process"; "boot_id" => by_boot_id);
        }
        Event::Unfenced { boot_id } => {
            warn!(log, "name conflict over: unfenced with a new boot id"; "boot_id" => boot_id);
        }
        Event::ViewsDiverged { peer } => warn!(log, "membership views diverged"; "peer" => &*peer),
        Event::ViewsConverged { peer } => info!(log, "membership views converged"; "peer" => &*peer),
        Event::MessagesRejected { reason, count, claimed_sender } => {
            let sender = claimed_sender.map_or_else(String::new, |name| name.to_string());
            warn!(log, "messages rejected"; "reason" => ?reason, "count" => count, "claimed_sender" => sender);
        }
    }
}
