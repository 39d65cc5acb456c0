//! Status queries: members, evidence, counts and invariants.

use super::{Membership, MAX_GUESTS};
use crate::identity::MemberName;
use crate::interface::MAX_QUEUED;
use crate::member::{Evidence, MemberRecord, MemberView};
use crate::partition::{PartitionStatus, ReachCount};
use crate::session::{ReportedStatus, Session};
use crate::view::{self, ViewDivergence};
use crate::wire::SenderStatus;
use crate::{MessageCounts, Micros};

/// The most unreachable members that a text lists by name; further ones are left out.
const MAX_NAMES_LISTED: usize = 8;

/// An invariant that does not hold between two calls, which is a bug of this crate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A queue or table has exceeded its bound.
    #[error("bound exceeded: longest queue {queued}, {guests} guests, {sessions} sessions")]
    BoundExceeded {
        /// The length of the longest queue.
        queued: usize,
        /// The number of guests.
        guests: usize,
        /// The number of sessions.
        sessions: usize,
    },
    /// A member of the roster has no session.
    #[error("the peer {peer:?} has no session")]
    MissingSession {
        /// The member without a session.
        peer: MemberName,
    },
    /// The digest that is sent does not match the view.
    #[error("the sent digest does not match the view")]
    StaleViewDigest,
}

/// Collects the evidence of one query.
struct EvidenceList {
    now: Micros,
    items: Vec<Evidence>,
}

impl EvidenceList {
    fn new(now: Micros) -> EvidenceList {
        EvidenceList { now, items: Vec::new() }
    }

    /// Adds an observation without an age.
    fn add(&mut self, text: impl Into<String>) {
        self.items.push(Evidence { what: text.into(), age_ms: None });
    }

    /// Adds an observation that was made `age` microseconds ago.
    fn add_aged(&mut self, text: impl Into<String>, age: Micros) {
        self.items.push(Evidence { what: text.into(), age_ms: Some(age / 1_000) });
    }

    /// Adds an observation that was made at `at`.
    fn add_at(&mut self, text: impl Into<String>, at: Micros) {
        self.add_aged(text, self.now.saturating_sub(at));
    }
}

impl Membership {
    /// The boot id under which others know this process: its start in Unix microseconds.
    pub fn boot_id(&self) -> u64 {
        self.swim.identity().boot_id
    }

    /// The partition status of this server: how much of the fleet it reaches.
    pub fn partition_status(&self) -> PartitionStatus {
        self.partition.status()
    }

    /// Whether this server is fenced because another process holds its name.
    pub fn is_fenced(&self) -> bool {
        self.fencing.is_fenced()
    }

    /// The digest of this server's view of the roster.
    pub fn view_digest(&self) -> u64 {
        self.view.digest
    }

    /// Message counts since the start of this process.
    pub fn counts(&self) -> &MessageCounts {
        &self.counts
    }

    /// The local health score: 0 is healthy, [`crate::health::MAX_HEALTH_SCORE`] is the worst.
    pub fn health_score(&self) -> u32 {
        self.swim.local_health().score()
    }

    /// The members of the roster that are reachable now, with the boot ids of their processes.
    pub fn reachable(&self, now: Micros) -> Vec<(MemberName, u64)> {
        self.roster_sessions()
            .filter(|session| self.is_session_reachable(now, session))
            .map(|session| (session.name.clone(), session.boot_id))
            .collect()
    }

    /// All members and guests that this server knows, ordered by name.
    pub fn members(&self, now: Micros) -> Vec<MemberView> {
        self.sessions.values().map(|session| self.member_view(now, session)).collect()
    }

    fn member_view(&self, now: Micros, session: &Session) -> MemberView {
        let age_ms = |at: Micros| now.saturating_sub(at) / 1_000;
        let unknown = MemberRecord::new(self.clock.started_at);
        let record = self.records.get(&session.name).unwrap_or(&unknown);
        let boot = if session.boot_id == 0 { record.boot_id } else { session.boot_id };
        let says = session.reported.map(|ReportedStatus { status, .. }| {
            (status.partition_status, status.load_percent, status.health_score)
        });
        MemberView {
            name: session.name.clone(),
            named: session.in_roster,
            state: record.state,
            for_ms: age_ms(record.since),
            boot,
            incarnation: record.incarnation,
            renewal: record.renewal,
            heard_ms: session.last_heard.map(age_ms),
            hears_us_ms: session.heard_us_ago(now).map(|age| age / 1_000),
            reached: self.is_session_reachable(now, session),
            says,
            about: session.build_info.clone(),
            differs_ms: session.views_differ_since.map(age_ms),
        }
    }

    /// Returns the evidence for a member's state, its state changes newest first, or for this server's own
    /// status. Returns `None` if the name is unknown.
    pub fn explain(&self, now: Micros, name: &str) -> Option<Vec<Evidence>> {
        let mut evidence = EvidenceList::new(now);
        if *name == *self.config.name {
            self.explain_self(&mut evidence);
            return Some(evidence.items);
        }
        let session = self.sessions.get(name)?;
        if let Some(record) = self.records.get(name) {
            explain_record(&mut evidence, record);
        }
        self.explain_session(&mut evidence, session);
        if let Some(divergence) = self.divergences.get(name) {
            divergence.differences().into_iter().for_each(|line| evidence.add(line));
        }
        Some(evidence.items)
    }

    fn explain_self(&self, evidence: &mut EvidenceList) {
        let now = evidence.now;
        let status = self.partition.status();
        evidence.add_at(format!("this server stands as {status}"), self.partition.since());
        evidence.add(self.describe_reach(now, self.count_reachable(now)));
        let (score, stalls) = (self.health_score(), self.counts.standstills);
        evidence.add(format!("sick {score} of 8, stood still {stalls} times"));
        if let Some(boot_id) = self.fencing.holder_boot_id() {
            evidence.add(format!("silent: another process, started at {boot_id}, has its name"));
        }
    }

    fn explain_session(&self, evidence: &mut EvidenceList, session: &Session) {
        match session.last_heard {
            Some(at) => evidence.add_at("heard directly", at),
            None => {
                let text = "not heard directly since this server began to listen";
                evidence.add_at(text, self.clock.evidence_valid_from);
            }
        }
        match session.last_heard_by_datagram {
            Some(at) => evidence.add_at("heard by datagram", at),
            None => evidence.add("no datagram came from it"),
        }
        match session.heard_us_ago(evidence.now) {
            Some(age) => evidence.add_aged("by its word it heard this server", age),
            None => evidence.add("it has not said that it hears this server"),
        }
        if let Some(ReportedStatus { received_at, status }) = session.reported {
            evidence.add_at(describe_status(&status), received_at);
        }
        if let Some(since) = session.views_differ_since {
            evidence.add_at("its view differs from this server's", since);
        }
    }

    /// Describes how much of the roster is reachable, for operators.
    pub(super) fn describe_reach(&self, now: Micros, count: ReachCount) -> String {
        let ReachCount { roster, reached, left } = count;
        let unreachable = self.describe_unreachable(now);
        format!("{reached} of {roster} reached, {left} left; not reached: {unreachable}")
    }

    fn describe_unreachable(&self, now: Micros) -> String {
        let (valid_from, timeout) = (self.clock.evidence_valid_from, self.config.evidence_timeout());
        let describe = |session: &Session| {
            if session.is_heard(now, valid_from, timeout) {
                format!("{} (it does not hear us)", session.name)
            } else {
                session.name.to_string()
            }
        };
        let names: Vec<String> = self
            .roster_sessions()
            .filter(|session| !self.is_session_reachable(now, session))
            .take(MAX_NAMES_LISTED)
            .map(describe)
            .collect();
        if names.is_empty() {
            return "nobody".to_owned();
        }
        names.join(", ")
    }

    /// The live members whose views have diverged from this server's.
    pub fn view_divergences(&self) -> impl Iterator<Item = &ViewDivergence> {
        self.divergences.values()
    }

    /// Checks the invariants that hold between any two calls; for tests.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let queued = self.outbox.longest_queue();
        let (guests, sessions) = (self.guests.len(), self.sessions.len());
        if queued > MAX_QUEUED || guests > MAX_GUESTS || sessions > self.config.peers.len() + MAX_GUESTS {
            return Err(InvariantViolation::BoundExceeded { queued, guests, sessions });
        }
        let missing = self.config.peers.iter().find(|peer| !self.sessions.contains_key(&peer.name));
        if let Some(peer) = missing {
            return Err(InvariantViolation::MissingSession { peer: peer.name.clone() });
        }
        if self.view.digest != view::digest(&self.view.rows) {
            return Err(InvariantViolation::StaleViewDigest);
        }
        Ok(())
    }
}

fn explain_record(evidence: &mut EvidenceList, record: &MemberRecord) {
    evidence.add_at(format!("held for {}", record.state), record.since);
    for change in record.changes.iter().rev() {
        evidence.add_at(format!("became {}: {}", change.state, change.cause), change.at);
    }
    let MemberRecord { boot_id, incarnation, renewal, .. } = record;
    evidence
        .add(format!("process started at {boot_id}, incarnation {incarnation}, came back {renewal} times"));
}

fn describe_status(status: &SenderStatus) -> String {
    let SenderStatus { partition_status, load_percent, health_score, leaving, .. } = status;
    let leaving = if *leaving { ", leaving" } else { "" };
    format!("it says: {partition_status}, load {load_percent} %, sick {health_score} of 8{leaving}")
}
