//! Reads the node `record` of a fleet: the settings of the servers' replicated store.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use kdl::{KdlDocument, KdlNode};
use umberloom_replicated_store::Config;

use crate::reader::Reader;

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;
/// The default maximum size of a replica on disk, in MiB.
const DEFAULT_MAX_MB: u64 = 256;
/// The default time between two scrubs, in seconds.
const DEFAULT_SCRUB_S: u64 = 600;
/// The valid range of the property `voters`.
const VOTERS_RANGE: RangeInclusive<u64> = 1..=5;

/// The settings of the replicated store in one server's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The voters and times of the store. The names of the servers come from the fleet.
    pub config: Config,
    /// The folder of this server's replica; with `None` the replica is lost when the process ends.
    pub folder: Option<PathBuf>,
    /// The maximum size of the replica in the folder, in bytes. The file may be about twice as large between
    /// two compactions.
    pub max_bytes: u64,
    /// The time between two scrubs of all data on disk, in microseconds.
    pub scrub_interval: u64,
}

/// The settings of the node `folder`; the fields are those of [`Record`].
struct Storage {
    folder: Option<PathBuf>,
    max_bytes: u64,
    scrub_interval: u64,
}

/// Reads the node. The fleet's configuration provides the server's `name` and `zone` and the names of the
/// `others`.
pub fn read(reader: &mut Reader, node: &KdlNode, (name, zone, others): (&str, &str, &[&str])) -> Record {
    let defaults = Config { zone: zone.into(), ..Config::new(name, others) };
    // With fewer than three members the usual default of three voters would be reported as a mistake,
    // although the file does not state it.
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

/// Reads the node `folder`, or returns the defaults without one.
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
