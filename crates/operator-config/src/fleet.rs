//! The node `fleet`: who belongs together, how they reach each other, and what they share.

use std::net::SocketAddr;

use kdl::{KdlDocument, KdlNode};
use umberloom_dependencies::config::Config as Dependencies;
use umberloom_membership::config::{Config, Peer, Timing, MAX_PEERS};
use umberloom_quota as allowance;

use crate::node::Reader;
use crate::record::Record;

/// A fleet, as one server is told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where this server listens for the others, by datagram and by stream.
    pub listen: SocketAddr,
    /// Who belongs to it, and its times. Its own name comes from the platform's configuration.
    pub membership: Config,
    /// The address of each peer, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// How what is shared is lent. Its whole is that of each dependency in [`Fleet::shared`].
    pub loans: Loans,
    /// Dependencies whose `survives` all servers share, and what each survives.
    pub shared: Vec<(String, u32)>,
    /// What the servers keep together, if they do.
    pub record: Option<Record>,
    /// Where the node stands in its file: line and column.
    pub place: (usize, usize),
}

/// Times of loans; see [`allowance::Config`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loans {
    /// How long a loan lasts, in microseconds.
    pub loan: u64,
    /// The longest time that a call to a shared dependency may state.
    pub call: u64,
    /// How long a call may be on its way.
    pub delivery: u64,
    /// How far the rate of a clock may be off, as a share.
    pub drift: f64,
}

impl Fleet {
    /// The allowance of a shared dependency that survives so many calls.
    pub fn allowance(&self, whole: u32) -> allowance::Config {
        let Loans { loan, call, delivery, drift } = self.loans;
        let peers = self.membership.peers.iter().map(|peer| peer.name.clone());
        let me = self.membership.name.clone();
        let roster = peers.chain([me.clone()]).collect();
        allowance::Config {
            total: whole,
            roster,
            own_name: me,
            lease_duration: loan,
            max_call_duration: call,
            max_delivery_delay: delivery,
            clock_drift: drift,
        }
    }

    /// What two servers must have in common to go by the same parts.
    pub fn basis(&self) -> String {
        let one = |(name, whole): &(String, u32)| format!("{name:?} {}\n", self.allowance(*whole).basis());
        self.shared.iter().map(one).collect()
    }
}

/// Reads the node, if there is one. `me` is this server's name, where the platform's configuration is known.
pub fn read(
    reader: &mut Reader,
    document: &KdlDocument,
    me: Option<&str>,
    dependencies: &Dependencies,
) -> Option<Fleet> {
    let shared = shared(document, dependencies);
    let node = reader.one(Some(document), "fleet")?;
    let at = node.span().offset();
    let name = reader.text(node, "a name").unwrap_or_default();
    reader.properties(node).with_arguments().done();
    let within = node.children();
    if let Some(within) = within {
        reader.only(within, &["listen", "secret", "zone", "peer", "timing", "loans", "record"]);
    }
    let listen = reader.one(within, "listen");
    if listen.is_none() {
        reader.fault(at, "found a fleet without \"listen\", expected an address and port of this server");
    }
    let listen = listen.and_then(|node| {
        let text = value(reader, node, "an address")?;
        address(reader, node, &text)
    });
    let secret = reader.one(within, "secret").and_then(|node| value(reader, node, "a secret"));
    let zone = reader.one(within, "zone").and_then(|node| value(reader, node, "a zone"));
    let (mut peers, mut addresses, mut places) = (Vec::new(), Vec::new(), Vec::new());
    for node in within.into_iter().flat_map(KdlDocument::nodes).filter(|n| n.name().value() == "peer") {
        let (peer, address) = peer(reader, node);
        places.push(node.span().offset());
        peers.push(peer);
        addresses.push(address);
    }
    for (place, address) in addresses.iter().enumerate() {
        if Some(*address) == listen || addresses[..place].contains(address) {
            let what = format!("found {address} a second time, expected one address for each server");
            reader.fault(places[place], what);
        }
    }
    let timing = reader.one(within, "timing").map_or_else(Timing::default, |node| timing(reader, node));
    let lent = reader.one(within, "loans");
    let loans = loans(reader, lent);
    let known = me.unwrap_or("this server, whose name the configuration has");
    let membership = Config {
        fleet: name,
        secret: secret.unwrap_or_default(),
        name: known.into(),
        zone: zone.unwrap_or_default().as_str().into(),
        peers,
        timing,
    };
    for mistake in membership.validate() {
        let place = mistake.peer_index().and_then(|place| places.get(place.min(MAX_PEERS)).copied());
        reader.fault(place.unwrap_or(at), mistake.to_string());
    }
    let kept = reader.one(within, "record");
    let record = kept.map(|node| {
        let others: Vec<&str> = membership.peers.iter().map(|peer| &*peer.name).collect();
        crate::record::read(reader, node, (&membership.name, &membership.zone, &others))
    });
    let (line, column) = reader.place(at);
    let listen = listen.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
    let fleet = Fleet { listen, membership, addresses, loans, shared, record, place: (line, column) };
    for (name, whole) in &fleet.shared {
        // Mistakes in the roster are told already, by their own places.
        for what in fleet.allowance(*whole).validate() {
            reader.fault(
                survives(document, name).map_or(at, |n| n.span().offset()),
                format!("{name:?}: {what}"),
            );
        }
    }
    Some(fleet)
}

/// Dependencies that say what they survive, and not by how many servers that is to be cut: all servers share it.
fn shared(document: &KdlDocument, dependencies: &Dependencies) -> Vec<(String, u32)> {
    let whole = |name: &str| {
        let found = dependencies.dependencies.iter().find(|d| d.name == name)?;
        found.capacity.map(|capacity| capacity.calls as u32)
    };
    let names = dependencies.dependencies.iter().map(|d| d.name.as_str());
    let cut = |name: &&str| survives(document, name).is_some_and(|node| node.entry("servers").is_none());
    names.filter(cut).filter_map(|name| Some((name.to_owned(), whole(name)?))).collect()
}

/// The node `survives` of a dependency.
fn survives<'d>(document: &'d KdlDocument, dependency: &str) -> Option<&'d KdlNode> {
    let named = |n: &&KdlNode| {
        n.name().value() == "dependency" && n.get(0).and_then(|v| v.as_string()) == Some(dependency)
    };
    document.nodes().iter().find(named)?.children()?.get("survives")
}

fn value(reader: &mut Reader, node: &KdlNode, what: &str) -> Option<String> {
    let found = reader.text(node, what);
    reader.leaf(node);
    reader.properties(node).with_arguments().done();
    found
}

fn address(reader: &mut Reader, node: &KdlNode, text: &str) -> Option<SocketAddr> {
    let found = text.parse().ok().filter(|address: &SocketAddr| address.port() != 0);
    if found.is_none() {
        let what = format!("found {text:?}, expected an address and port such as \"127.0.0.1:7400\"");
        reader.fault(node.span().offset(), what);
    }
    found
}

fn peer(reader: &mut Reader, node: &KdlNode) -> (Peer, SocketAddr) {
    let name = reader.text(node, "a name").unwrap_or_default();
    reader.leaf(node);
    let mut from = reader.properties(node).with_arguments();
    let (text, zone) = (from.text("address"), from.text("zone"));
    from.done();
    let found = match text {
        Some(text) => address(reader, node, &text),
        None => {
            reader
                .fault(node.span().offset(), "found a peer without an address, expected address=\"IP:PORT\"");
            None
        }
    };
    let peer = Peer { name: name.as_str().into(), zone: zone.unwrap_or_default().as_str().into() };
    (peer, found.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))))
}

fn timing(reader: &mut Reader, node: &KdlNode) -> Timing {
    let unless_set = Timing::default();
    reader.leaf(node);
    let mut from = reader.properties(node);
    let found = Timing {
        probe_interval: from.millis("probe-ms", unless_set.probe_interval),
        suspicion_timeout: from.millis("suspect-ms", unless_set.suspicion_timeout),
        heartbeat_interval: from.millis("beat-ms", unless_set.heartbeat_interval),
        upgrade_delay: from.millis("rise-ms", unless_set.upgrade_delay),
        min_status_duration: from.millis("damp-ms", unless_set.min_status_duration),
        stable_after: from.millis("calm-ms", unless_set.stable_after),
        divergence_timeout: from.millis("disagree-ms", unless_set.divergence_timeout),
    };
    from.done();
    found
}

fn loans(reader: &mut Reader, node: Option<&KdlNode>) -> Loans {
    let allowance::Config {
        lease_duration: loan,
        max_call_duration: call,
        max_delivery_delay: delivery,
        clock_drift: drift,
        ..
    } = allowance::Config::new(1, &["a"], "a");
    let unless_set = Loans { loan, call, delivery, drift };
    let Some(node) = node else { return unless_set };
    reader.leaf(node);
    let mut from = reader.properties(node);
    let found = Loans {
        loan: from.millis("loan-ms", loan),
        call: from.millis("call-ms", call),
        delivery: from.millis("delivery-ms", delivery),
        drift: from.number("drift", drift),
    };
    from.done();
    found
}
