//! The node `record` within a fleet: what its servers keep together, and where.

use std::path::PathBuf;

use kdl::KdlNode;
use umberloom_replicated_store::Config;

use crate::node::Reader;

/// The record, as one server is told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Who votes, and its times. Names come from the fleet.
    pub config: Config,
    /// Where this server's copy outlives its process; without it nothing does.
    pub folder: Option<PathBuf>,
    /// Bytes that the copy takes there at most; the file may be about twice as large between two compactions.
    pub most: u64,
    /// Time between two readings of all that is on disk, in microseconds.
    pub scrub: u64,
}

/// Reads the node. `me` and `others` are the fleet's.
pub fn read(reader: &mut Reader, node: &KdlNode, (me, zone, others): (&str, &str, &[&str])) -> Record {
    let unless_set = Config { zone: zone.into(), ..Config::new(me, others) };
    // Three of less than three would be a mistake nobody made.
    let usual = if others.len() < 2 { 1 } else { 3 };
    let within = node.children();
    if let Some(within) = within {
        reader.only(within, &["folder"]);
    }
    let folder = reader.one(within, "folder");
    let (mut path, mut most, mut scrub) = (None, 256 << 20, 600_000_000);
    if let Some(folder) = folder {
        path = reader.text(folder, "a path").filter(|path| !path.is_empty()).map(PathBuf::from);
        reader.leaf(folder);
        let mut from = reader.properties(folder).with_arguments();
        most = from.whole("most-mb", 256, (1, 4_096)) << 20;
        scrub = from.whole("scrub-s", 600, (1, 86_400)) * 1_000_000;
        from.done();
        if path.is_none() {
            reader.fault(folder.span().offset(), "found a folder without a path, expected folder \"PATH\"");
        }
    }
    let mut from = reader.properties(node);
    let config = Config {
        voters: from.whole("voters", usual, (1, 5)) as usize,
        election_timeout: from.millis("election-ms", unless_set.election_timeout),
        replace_after: from.whole("replace-after-s", unless_set.replace_after / 1_000_000, (1, 86_400))
            * 1_000_000,
        catch_up_bytes_per_second: from.whole(
            "catch-up-kb",
            unless_set.catch_up_bytes_per_second >> 10,
            (64, 1 << 20),
        ) << 10,
        ..unless_set
    };
    from.done();
    for what in config.validate() {
        reader.fault(node.span().offset(), what.to_string());
    }
    Record { config, folder: path, most, scrub }
}
