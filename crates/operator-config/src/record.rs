//! The node `record` within a fleet: the replicated store of its servers.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use kdl::{KdlDocument, KdlNode};
use umberloom_replicated_store::Config;

use crate::reader::Reader;

/// A second, in microseconds.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A day, in seconds.
const SECONDS_PER_DAY: u64 = 86_400;
/// Bytes that a replica takes on disk at most, in MiB, unless set.
const DEFAULT_MAX_MB: u64 = 256;
/// Time between two scrubs, in seconds, unless set.
const DEFAULT_SCRUB_S: u64 = 600;
/// The range of `voters`.
const VOTERS_RANGE: RangeInclusive<u64> = 1..=5;

/// The replicated store, as one server's file describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Who votes, and its times. Names come from the fleet.
    pub config: Config,
    /// Where this server's replica outlives its process; without it nothing does.
    pub folder: Option<PathBuf>,
    /// Bytes that the replica takes there at most; the file may be about twice as large between two compactions.
    pub max_bytes: u64,
    /// Time between two scrubs of all that is on disk, in microseconds.
    pub scrub_interval: u64,
}

/// Where a replica is stored, and how.
struct Storage {
    folder: Option<PathBuf>,
    max_bytes: u64,
    scrub_interval: u64,
}

/// Reads the node. `name`, `zone` and the names of the `others` are the fleet's.
pub fn read(reader: &mut Reader, node: &KdlNode, (name, zone, others): (&str, &str, &[&str])) -> Record {
    let defaults = Config { zone: zone.into(), ..Config::new(name, others) };
    // Three voters of fewer members would be a mistake that nobody made.
    let default_voters = if others.len() < 2 { 1 } else { 3 };
    let Storage { folder, max_bytes, scrub_interval } = storage(reader, node.children());
    let mut properties = reader.properties(node);
    let replace_after_s = defaults.replace_after / MICROS_PER_SECOND;
    let catch_up_kb = defaults.catch_up_bytes_per_second >> 10;
    let config = Config {
        voters: properties.integer("voters", default_voters, VOTERS_RANGE) as usize,
        election_timeout: properties.millis("election-ms", defaults.election_timeout),
        replace_after: properties.integer("replace-after-s", replace_after_s, 1..=SECONDS_PER_DAY)
            * MICROS_PER_SECOND,
        catch_up_bytes_per_second: properties.integer("catch-up-kb", catch_up_kb, 64..=1 << 20) << 10,
        ..defaults
    };
    properties.finish();
    for reason in config.validate() {
        reader.report_node(node, reason.to_string());
    }
    Record { config, folder, max_bytes, scrub_interval }
}

fn storage(reader: &mut Reader, children: Option<&KdlDocument>) -> Storage {
    if let Some(children) = children {
        reader.allow_only(children, &["folder"]);
    }
    let Some(node) = reader.single(children, "folder") else {
        return Storage {
            folder: None,
            max_bytes: DEFAULT_MAX_MB << 20,
            scrub_interval: DEFAULT_SCRUB_S * MICROS_PER_SECOND,
        };
    };
    let folder = reader.string(node, "a path").filter(|path| !path.is_empty()).map(PathBuf::from);
    reader.expect_no_children(node);
    let mut properties = reader.properties(node).with_arguments();
    let max_bytes = properties.integer("most-mb", DEFAULT_MAX_MB, 1..=4_096) << 20;
    let scrub_interval =
        properties.integer("scrub-s", DEFAULT_SCRUB_S, 1..=SECONDS_PER_DAY) * MICROS_PER_SECOND;
    properties.finish();
    if folder.is_none() {
        reader.report_node(node, "found a folder without a path, expected folder \"PATH\"");
    }
    Storage { folder, max_bytes, scrub_interval }
}
