//! Reads the nodes `kept`, `dependency` and `plan`.

mod dependency;
mod plan;

use kdl::{KdlDocument, KdlNode};
use umberloom_dependencies::config::{Config, ConfigLocation, FallbackCacheLimits};

use crate::reader::Reader;
use crate::Service;
use plan::StageOffsets;

/// The maximum number of endpoints of a dependency, and of calls in one node of a plan.
const MAX_NAMES: usize = 64;

/// The content of the nodes.
pub struct Dependencies {
    /// Dependencies and plans.
    pub config: Config,
    /// How each dependency is reached, in the order of the dependencies.
    pub services: Vec<Service>,
}

/// The byte offsets of nodes, which give positions to mistakes found by validating the whole configuration.
#[derive(Default)]
struct Offsets {
    kept: usize,
    dependencies: Vec<usize>,
    plans: Vec<PlanOffsets>,
}

/// The byte offsets of a plan and its stages.
struct PlanOffsets {
    node: usize,
    stages: Vec<StageOffsets>,
}

impl Offsets {
    /// Returns the byte offset of the node that a mistake concerns; 0 if there is no such node.
    fn find(&self, location: ConfigLocation) -> usize {
        let plan_at = |plan: usize| self.plans.get(plan);
        let stage_at = |plan: usize, stage: usize| plan_at(plan)?.stages.get(stage);
        let offset = match location {
            ConfigLocation::FallbackCache => Some(self.kept),
            ConfigLocation::Dependency { dependency } => {
                self.dependencies.get(dependency).or(self.dependencies.last()).copied()
            }
            ConfigLocation::Plan { plan } => plan_at(plan).map(|plan| plan.node),
            ConfigLocation::Stage { plan, stage } => stage_at(plan, stage).map(|stage| stage.node),
            ConfigLocation::Call { plan, stage, call } => {
                stage_at(plan, stage).and_then(|stage| stage.calls.get(call).copied())
            }
        };
        offset.unwrap_or(0)
    }
}

/// Reads the nodes. `classes` are the names of the classes that plans may be for, if they are known.
pub fn read(reader: &mut Reader, document: &KdlDocument, classes: Option<&[String]>) -> Dependencies {
    let mut offsets = Offsets::default();
    let mut config = Config::default();
    let mut services = Vec::new();
    if let Some(node) = reader.single(Some(document), "kept") {
        offsets.kept = node.span().offset();
        config.fallback_cache = fallback_cache_limits(reader, node);
    }
    for node in document.nodes() {
        let offset = node.span().offset();
        match node.name().value() {
            "dependency" => {
                let (dependency, service) = dependency::read(reader, node);
                offsets.dependencies.push(offset);
                config.dependencies.push(dependency);
                services.push(service);
            }
            "plan" => {
                let (plan, stages) = plan::read(reader, node, classes);
                offsets.plans.push(PlanOffsets { node: offset, stages });
                config.plans.push(plan);
            }
            _ => {}
        }
    }
    for mistake in config.validate() {
        reader.report(offsets.find(mistake.location), mistake.reason);
    }
    Dependencies { config, services }
}

fn fallback_cache_limits(reader: &mut Reader, node: &KdlNode) -> FallbackCacheLimits {
    let defaults = FallbackCacheLimits::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let max_entries = properties.integer("entries", defaults.max_entries as u64, 0..=1 << 20) as usize;
    let max_bytes = properties.integer("kb", defaults.max_bytes as u64 / 1_024, 0..=1 << 20) as usize * 1_024;
    properties.finish();
    FallbackCacheLimits { max_entries, max_bytes }
}
