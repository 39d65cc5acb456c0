//! Reads the node `plan`: the calls that requests of a class make, in stages.

use kdl::KdlNode;
use umberloom::interface::Micros;
use umberloom_dependencies::config::{CallConfig, PlanConfig, StageConfig};

use super::MAX_NAMES;
use crate::reader::{alternatives, Reader};

/// The default maximum duration of a stage: one minute.
const DEFAULT_MAX_STAGE_TIME: Micros = 60_000_000;

/// The byte offsets of a stage and its calls.
pub struct StageOffsets {
    /// The offset of the node of the stage.
    pub node: usize,
    /// The offset of the node of each call, in the order of the calls.
    pub calls: Vec<usize>,
}

/// Reads the node. `classes` are the names of the classes that it may be for, if they are known.
pub fn read(
    reader: &mut Reader,
    node: &KdlNode,
    classes: Option<&[String]>,
) -> (PlanConfig, Vec<StageOffsets>) {
    let class = reader.string(node, "a class").unwrap_or_default();
    reader.expect_no_properties(node);
    if let Some(known) = classes.filter(|known| !known.contains(&class)) {
        let known: Vec<&str> = known.iter().map(String::as_str).collect();
        let expected = alternatives(&known);
        let reason = format!("found a plan for {class:?}, expected a class of the settings: {expected}");
        reader.report_node(node, reason);
    }
    let (mut stages, mut offsets) = (Vec::new(), Vec::new());
    if let Some(children) = node.children() {
        reader.allow_only(children, &["stage"]);
        for node in children.nodes().iter().filter(|n| n.name().value() == "stage") {
            let (stage, calls) = stage(reader, node);
            stages.push(stage);
            offsets.push(StageOffsets { node: node.span().offset(), calls });
        }
    }
    (PlanConfig { class, stages }, offsets)
}

/// Reads a stage; also returns the byte offset of the node of each call.
fn stage(reader: &mut Reader, node: &KdlNode) -> (StageConfig, Vec<usize>) {
    reader.strings(node, 0);
    let mut properties = reader.properties(node);
    let weight = properties.number("share", 1.0);
    let min_time = properties.millis("least-ms", 0);
    let max_time = properties.millis("most-ms", DEFAULT_MAX_STAGE_TIME);
    properties.finish();
    let (mut calls, mut offsets) = (Vec::new(), Vec::new());
    if let Some(children) = node.children() {
        reader.allow_only(children, &["needs", "wants"]);
        for node in children.nodes() {
            let required = match node.name().value() {
                "needs" => true,
                "wants" => false,
                _ => continue,
            };
            reader.expect_no_children(node);
            reader.expect_no_properties(node);
            for dependency in reader.strings(node, MAX_NAMES) {
                calls.push(CallConfig { dependency, required });
                offsets.push(node.span().offset());
            }
        }
    }
    (StageConfig { weight, min_time, max_time, calls }, offsets)
}
