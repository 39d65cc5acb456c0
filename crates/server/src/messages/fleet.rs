//! What the fleet's actor is told, and what it tells.

use std::net::SocketAddr;
use std::rc::Rc;

use umberloom_membership::wire::BuildInfo;
use umberloom_membership::{Config, MemberName};
use umberloom_operator_config::Record;
use umberloom_quota::QuotaStatus;

/// The matter of shared allowances.
pub const QUOTA_CHANNEL: u8 = 1;
/// The matter of the record that servers keep together.
pub const REPLICATION_CHANNEL: u8 = 2;

/// What the actor is told.
#[derive(Debug)]
pub enum FleetCommand {
    /// Say this about a matter to a member.
    Send(MemberName, u8, Vec<u8>),
    /// How loaded this server is, in percent.
    SetLoad(u8),
    /// How shared allowances stand, for those who ask.
    PublishQuotas(Vec<(Rc<str>, QuotaStatus)>),
    /// Other peers, with their addresses, what this server is made of now, and what is told of the record.
    Reconfigure(Box<(Config, Vec<SocketAddr>, BuildInfo, Option<Record>)>),
    /// This server has been told to end.
    Leave,
    /// The last word.
    AnnounceDeparture,
}

/// What the module hears of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Who is there.
    ReachabilityChanged(Reachability),
    /// A member says something about a matter.
    MessageReceived {
        /// The member, and the start of its process.
        from: (MemberName, u64),
        /// Which matter.
        channel: u8,
        /// What it says.
        payload: Vec<u8>,
    },
}

/// Who is there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Members that are reached, with the starts of their processes.
    pub reachable: Vec<(MemberName, u64)>,
    /// One that is reached goes by other parts of what is shared.
    pub quota_basis_differs: bool,
    /// Everyone in the roster is reached and goes by the same.
    pub all_agree: bool,
    /// Another process has this server's name.
    pub fenced: bool,
}
