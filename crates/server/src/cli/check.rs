//! `umberloom check`: validates configuration files, individually and against each other.

use std::path::Path;

use super::CommandError;
use crate::lifecycle::config::Config;
use crate::lifecycle::config_files::load_operator;

/// Validates the given files, and prints a summary of each.
pub fn run(config: Option<&Path>, operator: Option<&Path>) -> Result<(), CommandError> {
    if config.is_none() && operator.is_none() {
        return Err(CommandError::NothingToCheck);
    }
    let config = config.map(Config::load).transpose()?;
    if let Some(config) = &config {
        for key in &config.unknown_keys {
            eprintln!("umberloom: warning: {key}");
        }
        println!("{}: sound", config.name);
    }
    if let Some(path) = operator {
        let operator = load_operator(path, config.as_ref())?;
        let dependencies = operator.services.len();
        let plans = operator.dependencies.plans.len();
        let fleet = operator.fleet.as_ref().map_or_else(String::new, |fleet| {
            format!(", a fleet of {} that shares {}", fleet.membership.roster_size(), fleet.shared.len())
        });
        println!("{}: sound, {dependencies} dependencies and {plans} plans{fleet}", path.display());
    }
    Ok(())
}
