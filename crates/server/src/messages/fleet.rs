//! Messages to the fleet's actor, and its events for the admission actor.

use std::net::SocketAddr;
use std::rc::Rc;

use umberloom_membership::wire::BuildInfo;
use umberloom_membership::{Config, MemberName};
use umberloom_operator_config::Record;
use umberloom_quota::QuotaStatus;

/// Channel of the messages about distributed quotas.
pub const QUOTA_CHANNEL: u8 = 1;
/// Channel of the messages of the replicated store.
pub const REPLICATION_CHANNEL: u8 = 2;

/// What the fleet's actor runs with.
#[derive(Debug)]
pub struct FleetConfig {
    /// This server, its peers and the timing of the protocol.
    pub membership: Config,
    /// Addresses of the peers, in the order of `membership.peers`.
    pub peer_addresses: Vec<SocketAddr>,
    /// What this server runs.
    pub build_info: BuildInfo,
    /// The replicated store, if the operator's file has one.
    pub replicated_store: Option<Record>,
}

/// How the quota of one dependency is used on this server.
#[derive(Clone, Debug)]
pub struct QuotaReport {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// Its quota.
    pub status: QuotaStatus,
}

/// What the mailbox of the fleet's actor takes.
#[derive(Debug)]
pub enum FleetCommand {
    /// Send a message to a member.
    Send {
        /// The member.
        to: MemberName,
        /// What the message is about.
        channel: u8,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// How loaded this server is, in percent.
    SetLoad(u8),
    /// How the distributed quotas are used, for operators who ask.
    PublishQuotas(Vec<QuotaReport>),
    /// Run with this from now on.
    Reconfigure(Box<FleetConfig>),
    /// This server has been told to end.
    Leave,
    /// Tell the other members that this server is gone, and end.
    AnnounceDeparture,
}

/// What the fleet's actor tells the admission actor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Other members are reached, or agree, than before.
    ReachabilityChanged(Reachability),
    /// A member has sent a message.
    MessageReceived {
        /// The member.
        from: MemberName,
        /// The start of the member's process.
        boot_id: u64,
        /// What the message is about.
        channel: u8,
        /// The encoded message.
        payload: Vec<u8>,
    },
}

/// Which members are reached, and whether they share quotas by the same settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Members that are reached, with the boot ids of their processes.
    pub reachable: Vec<(MemberName, u64)>,
    /// A member that is reached has other settings for distributed quotas.
    pub quota_basis_differs: bool,
    /// Every member in the roster is reached and has the same settings for distributed quotas.
    pub all_agree: bool,
    /// A newer process has this server's name.
    pub fenced: bool,
}
