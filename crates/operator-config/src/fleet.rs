//! Reads the node `fleet`: its members, how they reach each other, and the quotas that they share.

use std::net::SocketAddr;

use kdl::{KdlDocument, KdlNode};
use umberloom_dependencies::config::Config as DependencyConfig;
use umberloom_membership::config::{Config, Peer, Timing, MAX_PEERS};
use umberloom_quota as quota;

use crate::error::Position;
use crate::reader::Reader;
use crate::record::Record;

/// Replaces a missing or invalid address, which is reported as a mistake.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);
/// Replaces the server's name in messages if the platform's configuration is not known.
const UNKNOWN_SERVER_NAME: &str = "this server, whose name the configuration has";

/// The settings of a fleet in one server's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The address at which this server receives datagrams and connections of the other servers.
    pub listen: SocketAddr,
    /// The members and the times of the membership protocol. This server's name comes from the platform's
    /// configuration.
    pub membership: Config,
    /// The address of each peer, in the order of the peers in `membership`.
    pub addresses: Vec<SocketAddr>,
    /// The times of quota leases.
    pub leases: LeaseTimes,
    /// The dependencies whose `survives` quota all servers share, and how many concurrent calls each of them
    /// survives.
    pub shared: Vec<(String, u32)>,
    /// The replicated store, if the servers have one.
    pub record: Option<Record>,
    /// The position of the node in its file.
    pub position: Position,
}

/// The durations of quota leases, in microseconds, and the clock drift that they allow for; see
/// [`quota::Config`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTimes {
    /// The duration of a lease.
    pub lease_duration: u64,
    /// The maximum duration that a call to a shared dependency may state.
    pub max_call_duration: u64,
    /// The maximum time from sending a call until the dependency starts to count its stated time.
    pub max_delivery_delay: u64,
    /// The maximum deviation of a clock's rate, as a share of the rate.
    pub clock_drift: f64,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        let quota::Config { lease_duration, max_call_duration, max_delivery_delay, clock_drift, .. } =
            quota::Config::new(1, &["a"], "a");
        LeaseTimes { lease_duration, max_call_duration, max_delivery_delay, clock_drift }
    }
}

impl Fleet {
    /// Returns the configuration of the distributed quota of a shared dependency that survives `calls`
    /// concurrent calls.
    pub fn quota_config(&self, calls: u32) -> quota::Config {
        let LeaseTimes { lease_duration, max_call_duration, max_delivery_delay, clock_drift } = self.leases;
        let own_name = self.membership.name.clone();
        let peers = self.membership.peers.iter().map(|peer| peer.name.clone());
        let roster = peers.chain([own_name.clone()]).collect();
        quota::Config {
            total: calls,
            roster,
            own_name,
            lease_duration,
            max_call_duration,
            max_delivery_delay,
            clock_drift,
        }
    }

    /// Describes the settings that must be equal on two servers for them to compute the same quota shares.
    /// Servers, also of different versions, compare digests of this text, so its format must not change.
    pub fn basis(&self) -> String {
        let line =
            |(name, calls): &(String, u32)| format!("{name:?} {}\n", self.quota_config(*calls).basis());
        self.shared.iter().map(line).collect()
    }
}

/// Reads the node, if there is one. `server_name` is this server's name, if the platform's configuration is
/// known.
pub fn read(
    reader: &mut Reader,
    document: &KdlDocument,
    server_name: Option<&str>,
    dependencies: &DependencyConfig,
) -> Option<Fleet> {
    let node = reader.single(Some(document), "fleet")?;
    let fleet_name = reader.string(node, "a name").unwrap_or_default();
    reader.expect_no_properties(node);
    let children = node.children();
    if let Some(children) = children {
        reader.allow_only(children, &["listen", "secret", "zone", "peer", "timing", "loans", "record"]);
    }
    let listen = listen_address(reader, node, children);
    let secret = reader.single(children, "secret").and_then(|node| reader.only_string(node, "a secret"));
    let zone = reader.single(children, "zone").and_then(|node| reader.only_string(node, "a zone"));
    let peers = Peers::read(reader, children);
    peers.check_addresses(reader, listen);
    let timing = reader.single(children, "timing").map_or_else(Timing::default, |n| timing(reader, n));
    let leases = reader.single(children, "loans").map_or_else(LeaseTimes::default, |n| leases(reader, n));
    let membership = Config {
        fleet: fleet_name,
        secret: secret.unwrap_or_default(),
        name: server_name.unwrap_or(UNKNOWN_SERVER_NAME).into(),
        zone: zone.unwrap_or_default().as_str().into(),
        peers: peers.peers,
        timing,
    };
    for mistake in membership.validate() {
        let peer_offset = mistake.peer_index().and_then(|peer| peers.offsets.get(peer.min(MAX_PEERS)));
        reader.report(peer_offset.copied().unwrap_or(node.span().offset()), mistake.to_string());
    }
    let record = reader.single(children, "record").map(|node| {
        let others: Vec<&str> = membership.peers.iter().map(|peer| &*peer.name).collect();
        crate::record::read(reader, node, (&membership.name, &membership.zone, &others))
    });
    let fleet = Fleet {
        listen: listen.unwrap_or(PLACEHOLDER_ADDRESS),
        membership,
        addresses: peers.addresses,
        leases,
        shared: shared_quotas(document, dependencies),
        record,
        position: reader.position(node.span().offset()),
    };
    check_quotas(reader, document, node, &fleet);
    Some(fleet)
}

fn listen_address(
    reader: &mut Reader,
    fleet: &KdlNode,
    children: Option<&KdlDocument>,
) -> Option<SocketAddr> {
    let Some(node) = reader.single(children, "listen") else {
        let reason = "found a fleet without \"listen\", expected an address and port of this server";
        reader.report_node(fleet, reason);
        return None;
    };
    let text = reader.only_string(node, "an address")?;
    address(reader, node, &text)
}

fn address(reader: &mut Reader, node: &KdlNode, text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok().filter(|address: &SocketAddr| address.port() != 0);
    if address.is_none() {
        let reason = format!("found {text:?}, expected an address and port such as \"127.0.0.1:7400\"");
        reader.report_node(node, reason);
    }
    address
}

/// The content of all nodes `peer`, in the order of the file.
#[derive(Default)]
struct Peers {
    peers: Vec<Peer>,
    addresses: Vec<SocketAddr>,
    /// The byte offset of each node.
    offsets: Vec<usize>,
}

impl Peers {
    fn read(reader: &mut Reader, children: Option<&KdlDocument>) -> Peers {
        let nodes = children.into_iter().flat_map(KdlDocument::nodes);
        let mut peers = Peers::default();
        for node in nodes.filter(|n| n.name().value() == "peer") {
            let (peer, address) = peer(reader, node);
            peers.peers.push(peer);
            peers.addresses.push(address);
            peers.offsets.push(node.span().offset());
        }
        peers
    }

    fn check_addresses(&self, reader: &mut Reader, listen: Option<SocketAddr>) {
        for (index, address) in self.addresses.iter().enumerate() {
            if Some(*address) == listen || self.addresses[..index].contains(address) {
                let reason = format!("found {address} a second time, expected one address for each server");
                reader.report(self.offsets[index], reason);
            }
        }
    }
}

fn peer(reader: &mut Reader, node: &KdlNode) -> (Peer, SocketAddr) {
    let name = reader.string(node, "a name").unwrap_or_default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node).with_arguments();
    let text = properties.string("address");
    let zone = properties.string("zone");
    properties.finish();
    let address = match text {
        Some(text) => address(reader, node, &text),
        None => {
            reader.report_node(node, "found a peer without an address, expected address=\"IP:PORT\"");
            None
        }
    };
    let peer = Peer { name: name.as_str().into(), zone: zone.unwrap_or_default().as_str().into() };
    (peer, address.unwrap_or(PLACEHOLDER_ADDRESS))
}

fn timing(reader: &mut Reader, node: &KdlNode) -> Timing {
    let defaults = Timing::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let timing = Timing {
        probe_interval: properties.millis("probe-ms", defaults.probe_interval),
        suspicion_timeout: properties.millis("suspect-ms", defaults.suspicion_timeout),
        heartbeat_interval: properties.millis("beat-ms", defaults.heartbeat_interval),
        upgrade_delay: properties.millis("rise-ms", defaults.upgrade_delay),
        min_status_duration: properties.millis("damp-ms", defaults.min_status_duration),
        stable_after: properties.millis("calm-ms", defaults.stable_after),
        divergence_timeout: properties.millis("disagree-ms", defaults.divergence_timeout),
    };
    properties.finish();
    timing
}

fn leases(reader: &mut Reader, node: &KdlNode) -> LeaseTimes {
    let defaults = LeaseTimes::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let leases = LeaseTimes {
        lease_duration: properties.millis("loan-ms", defaults.lease_duration),
        max_call_duration: properties.millis("call-ms", defaults.max_call_duration),
        max_delivery_delay: properties.millis("delivery-ms", defaults.max_delivery_delay),
        clock_drift: properties.number("drift", defaults.clock_drift),
    };
    properties.finish();
    leases
}

/// Reports mistakes in the quotas of shared dependencies. Mistakes in the roster have been reported already,
/// at the nodes that they concern.
fn check_quotas(reader: &mut Reader, document: &KdlDocument, fleet_node: &KdlNode, fleet: &Fleet) {
    for (name, calls) in &fleet.shared {
        for reason in fleet.quota_config(*calls).validate() {
            let reported_node = survives_node(document, name).unwrap_or(fleet_node);
            reader.report_node(reported_node, format!("{name:?}: {reason}"));
        }
    }
}

/// Returns the dependencies whose node `survives` does not state the number of `servers` to divide the quota
/// by: all servers share the quota of such a dependency.
fn shared_quotas(document: &KdlDocument, dependencies: &DependencyConfig) -> Vec<(String, u32)> {
    let mut shared = Vec::new();
    for name in dependencies.dependencies.iter().map(|dependency| &dependency.name) {
        let is_shared = survives_node(document, name).is_some_and(|node| node.entry("servers").is_none());
        let dependency = dependencies.dependencies.iter().find(|dependency| dependency.name == *name);
        let capacity = dependency.and_then(|dependency| dependency.capacity);
        if let Some(capacity) = capacity.filter(|_| is_shared) {
            shared.push((name.clone(), capacity.calls as u32));
        }
    }
    shared
}

/// Returns the node `survives` of a dependency.
fn survives_node<'d>(document: &'d KdlDocument, dependency: &str) -> Option<&'d KdlNode> {
    let has_name = |n: &&KdlNode| {
        n.name().value() == "dependency" && n.get(0).and_then(|v| v.as_string()) == Some(dependency)
    };
    document.nodes().iter().find(has_name)?.children()?.get("survives")
}
