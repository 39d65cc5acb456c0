//! Messages to the fleet's actor, and its events for the admission actor.

use std::net::SocketAddr;
use std::rc::Rc;

use umberloom_membership::wire::BuildInfo;
use umberloom_membership::{Config, MemberName};
use umberloom_operator_config::Record;
use umberloom_quota::QuotaStatus;

/// Membership channel of messages about distributed quotas.
pub const QUOTA_CHANNEL: u8 = 1;
/// Membership channel of the replicated store's messages.
pub const REPLICATION_CHANNEL: u8 = 2;

/// Configuration of the fleet's actor.
#[derive(Debug)]
pub struct FleetConfig {
    /// Name of this server, its peers and the timing of the membership protocol.
    pub membership: Config,
    /// Addresses of the peers, in the order of `membership.peers`.
    pub peer_addresses: Vec<SocketAddr>,
    /// Program and configuration that this server runs.
    pub build_info: BuildInfo,
    /// Settings of the replicated store, if the operator's file has one.
    pub replicated_store: Option<Record>,
}

/// Use of one dependency's quota on this server.
#[derive(Clone, Debug)]
pub struct QuotaReport {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// State of the quota.
    pub status: QuotaStatus,
}

/// Messages to the fleet's actor.
#[derive(Debug)]
pub enum FleetCommand {
    /// Sends a message to a member.
    Send {
        /// Name of the receiving member.
        to: MemberName,
        /// Channel of the message, for example [`QUOTA_CHANNEL`].
        channel: u8,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Sets the load that this server reports to other members, in percent.
    SetLoad(u8),
    /// Replaces the quota reports that operators' requests are answered with.
    PublishQuotas(Vec<QuotaReport>),
    /// Replaces the configuration.
    Reconfigure(Box<FleetConfig>),
    /// Tells the other members that this server is leaving.
    Leave,
    /// Tells the other members that this server has left, and ends the actor.
    AnnounceDeparture,
}

/// Events that the fleet's actor sends to the admission actor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The set of reachable members, or their agreement on quota settings, has changed.
    ReachabilityChanged(Reachability),
    /// A message from another member was received.
    MessageReceived {
        /// Name of the sending member.
        from: MemberName,
        /// Boot id of the sending process.
        boot_id: u64,
        /// Channel of the message, for example [`QUOTA_CHANNEL`].
        channel: u8,
        /// The encoded message.
        payload: Vec<u8>,
    },
}

/// Which members are reachable, and whether they have the same quota settings as this server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Reachable members, with the boot ids of their processes.
    pub reachable: Vec<(MemberName, u64)>,
    /// Whether a reachable member has different settings for distributed quotas.
    pub quota_basis_differs: bool,
    /// Whether every member of the roster is reachable and has the same settings for distributed quotas.
    pub all_agree: bool,
    /// Whether this server is fenced, as a newer process uses its name.
    pub fenced: bool,
}
