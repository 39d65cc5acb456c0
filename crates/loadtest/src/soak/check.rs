//! What must hold after a run of the soak.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, Instant};

use super::announce::Report;
use super::client::{AnswerKind, RequestRecord};

/// A report may have been sent before the notice and arrive this much later: a report that takes longer is
/// given up by the server.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// A rule that was broken in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request without a final answer.
    Unanswered {
        id: String,
        written_before_kill: Duration,
        /// How long after the request was written the client saw the end of its connection.
        connection_ended_after: Option<Duration>,
    },
    /// A request with more than one answer.
    AnsweredTwice { id: String },
    /// A request served with something that its run did not make.
    WrongResult { id: String },
    /// A request whose run was launched again after it had ended.
    RanTwice { id: String },
    /// A request whose run was launched, and which was answered that it never ran.
    RejectedAfterRun { id: String },
    /// The announce service was told that the server accepts work, this long after the notice.
    AnnouncedAfterNotice { after: Duration },
    /// The process had not exited by itself.
    AliveAtKill {
        /// How long the server's core stood still when it was due to exit; `None` if that does not explain
        /// it.
        standstill: Option<Duration>,
    },
    /// The process ended by itself, but not with success.
    ExitStatus { status: String },
    /// An acknowledged entry of the replicated store is gone or changed.
    EntryLost { name: String, found: String },
    /// The environment did not reach a state that the run needs.
    Environment { reason: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered { id, written_before_kill, connection_ended_after } => {
                write!(f, "request {id} unanswered, written {written_before_kill:.0?} before the kill")?;
                match connection_ended_after {
                    Some(after) => write!(f, ", connection ended {after:.0?} after that"),
                    None => Ok(()),
                }
            }
            Violation::AnsweredTwice { id } => write!(f, "request {id} answered twice"),
            Violation::WrongResult { id } => write!(f, "request {id} served with another result"),
            Violation::RanTwice { id } => write!(f, "request {id} ran twice"),
            Violation::RejectedAfterRun { id } => write!(f, "request {id} rejected after it had run"),
            Violation::AnnouncedAfterNotice { after } => {
                write!(f, "announced as accepting {after:.0?} after the notice")
            }
            Violation::AliveAtKill { standstill: None } => write!(f, "process alive at SIGKILL"),
            Violation::AliveAtKill { standstill: Some(length) } => {
                write!(f, "process alive at SIGKILL, after a standstill of its core of {length:.1?}")
            }
            Violation::ExitStatus { status } => write!(f, "process ended with {status}"),
            Violation::EntryLost { name, found } => write!(f, "acknowledged entry {name} lost: {found}"),
            Violation::Environment { reason } => write!(f, "environment: {reason}"),
        }
    }
}

/// Whether nothing is wrong but that the process had not exited, when the machine stood still: such a run has
/// no verdict.
pub fn has_no_verdict(violations: &[Violation]) -> bool {
    matches!(violations, [Violation::AliveAtKill { standstill: Some(_) }])
}

/// The times that the checks refer to.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub notified_at: Instant,
    pub killed_at: Instant,
    /// Until this time the process was suspended across the notice; `notified_at` if it was not.
    pub resumed_at: Instant,
    /// From this time on the process was suspended until the kill: what is written then can't be read.
    pub suspended_from: Option<Instant>,
}

/// Checks the requests of all clients against the runs that were launched.
pub fn check_requests(
    records: &[RequestRecord],
    launched: &BTreeSet<String>,
    times: Times,
) -> Vec<Violation> {
    records.iter().filter_map(|record| check_request(record, launched, times)).collect()
}

fn check_request(record: &RequestRecord, launched: &BTreeSet<String>, times: Times) -> Option<Violation> {
    let id = record.id.clone();
    if record.extra_answers > 0 {
        return Some(Violation::AnsweredTwice { id });
    }
    match record.answer {
        Some(AnswerKind::WrongResult) => Some(Violation::WrongResult { id }),
        Some(AnswerKind::Rejected) if launched.contains(&id) => Some(Violation::RejectedAfterRun { id }),
        Some(_) => None,
        None if record.crossed_the_close() || was_written_while_suspended(record, times) => None,
        None => {
            let written_before_kill = times.killed_at.saturating_duration_since(record.written_at);
            let connection_ended_after =
                record.cut_off_at.map(|at| at.saturating_duration_since(record.written_at));
            Some(Violation::Unanswered { id, written_before_kill, connection_ended_after })
        }
    }
}

/// Whether the process was suspended until the kill when the request was written, or so soon after that the
/// request was still on its way.
fn was_written_while_suspended(record: &RequestRecord, times: Times) -> bool {
    times.suspended_from.is_some_and(|from| record.written_at + super::client::CROSSING >= from)
}

/// Checks that the announce service was not told after the notice that the server accepts work.
pub fn check_reports(reports: &[Report], times: Times) -> Option<Violation> {
    let latest = times.resumed_at.max(times.notified_at) + REPORT_TIMEOUT;
    let late = reports.iter().find(|report| report.accepting && report.at > latest)?;
    let after = late.at.saturating_duration_since(times.notified_at);
    Some(Violation::AnnouncedAfterNotice { after })
}
