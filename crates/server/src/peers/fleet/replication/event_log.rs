//! Logs the events that the replica reports.

use slog::{error, info, warn, Logger};
use umberloom_replicated_store::Event;

/// Writes one log line for the event. Ids of stores and replicas are written in hexadecimal, as `fleet record
/// status` shows them.
pub(super) fn log_event(log: &Logger, event: Event) {
    match event {
        // A warning, because a bootstrapped store has none of the content of an earlier store of this fleet.
        Event::Bootstrapped { store_id } => {
            warn!(log, "replicated store bootstrapped"; "store" => format!("{store_id:016x}"));
        }
        Event::RoleChanged { from, to } => info!(log, "replica role changed"; "from" => %from, "to" => %to),
        Event::LeaderChanged { leader } => {
            let name = leader.unwrap_or_else(|| "nobody".to_owned());
            info!(log, "replicated store leader changed"; "name" => name);
        }
        Event::ConfigurationChange { change } => {
            info!(log, "replicated store configuration changed"; "change" => %change);
        }
        Event::RollbackDetected { remembered } => {
            error!(log, "replica rollback detected"; "term" => remembered.term, "entry" => remembered.last_index);
        }
        Event::LocalDivergence { majority } => {
            error!(log, "replica diverged from majority"; "replicas" => format!("{majority:x?}"));
        }
        Event::PeerDivergence { replicas } => {
            warn!(log, "peer replicas diverged from majority"; "replicas" => format!("{replicas:x?}"));
        }
        Event::Frozen => error!(log, "replicated store frozen: replicas diverged without a majority"),
        Event::Obsolete { own_store, led_store } => {
            error!(log, "replicated store obsolete";
                "own" => format!("{own_store:016x}"), "led" => format!("{led_store:016x}"));
        }
        Event::CompetingStore { own_store, led_store } => {
            error!(log, "competing replicated store detected";
                "own" => format!("{own_store:016x}"), "led" => format!("{led_store:016x}"));
        }
        Event::LibraryFailed { reason } => error!(log, "raft library failed"; "reason" => reason),
        Event::CaughtUp { index, bytes, took } => {
            info!(log, "replica caught up"; "entry" => index, "bytes" => bytes, "took_ms" => took / 1_000);
        }
    }
}
