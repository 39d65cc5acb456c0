//! The two files that configure a server: the platform's JSON and the operator's KDL.

use std::path::{Path, PathBuf};

use thiserror::Error;
use umberloom_operator_config::{self as operator_config, Operator, ServerContext, Service};

use super::config::{Config, ConfigError};
use super::fleet::{self, FleetLimitError};
use super::PEER_MEMORY_DIVISOR;

/// Cached fallback results may use at most `1 / FALLBACK_CACHE_DIVISOR` of the memory for peers.
const FALLBACK_CACHE_DIVISOR: usize = 4;

/// Paths of the configuration files.
#[derive(Clone, Debug)]
pub struct ConfigFiles {
    /// The platform's configuration, in JSON.
    pub server: PathBuf,
    /// The operator's own file, in KDL, if there is one.
    pub operator: Option<PathBuf>,
}

/// The contents of the configuration files, validated individually and against each other.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The platform's configuration.
    pub server: Config,
    /// The operator's own file, if there is one.
    pub operator: Option<Operator>,
}

/// The reason why the configuration files can't be used; the message names the file and the position in it.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Server(#[from] ConfigError),
    /// The operator's file on its own is invalid.
    #[error(transparent)]
    Operator(#[from] operator_config::ConfigError),
    /// The fallback cache does not fit the memory limit of the platform's configuration.
    #[error("{file}: found kept kb={found_kb}, expected {max_kb} at most under this memory limit")]
    FallbackCacheTooLarge { file: String, found_kb: usize, max_kb: usize },
    /// A dependency refers to the records service, and the platform's configuration has none.
    #[error("{file}: found \"platform\", expected endpoints: the configuration has no `records`")]
    NoRecordsService { file: String },
    /// The fleet does not fit the limits of the platform's configuration.
    #[error("{file}:{source}")]
    FleetLimit { file: String, source: FleetLimitError },
}

impl ConfigFiles {
    /// The path of the operator's file for use in messages; empty if there is none.
    pub fn operator_name(&self) -> String {
        self.operator.as_ref().map_or_else(String::new, |path| path.display().to_string())
    }

    /// Reads and validates both files.
    pub fn load(&self) -> Result<LoadedConfig, ConfigFileError> {
        let server = Config::load(&self.server)?;
        let operator = self.operator.as_deref().map(|path| load_operator(path, Some(&server))).transpose()?;
        Ok(LoadedConfig { server, operator })
    }
}

/// Reads the operator's file, and checks it against the platform's configuration if that is known.
pub fn load_operator(path: &Path, server: Option<&Config>) -> Result<Operator, ConfigFileError> {
    let context = ServerContext {
        class_names: server.map(|config| config.classes.as_slice()),
        server_name: server.map(|config| config.name.as_str()),
    };
    let operator = operator_config::load(path, context)?;
    if let Some(server) = server {
        check_against_server(&operator, server, &path.display().to_string())?;
    }
    Ok(operator)
}

fn check_against_server(operator: &Operator, server: &Config, file: &str) -> Result<(), ConfigFileError> {
    let file = || file.to_owned();
    let found_bytes = operator.dependencies.fallback_cache.max_bytes;
    let max_bytes = server.limits.memory_bytes / PEER_MEMORY_DIVISOR / FALLBACK_CACHE_DIVISOR;
    if found_bytes > max_bytes {
        return Err(ConfigFileError::FallbackCacheTooLarge {
            file: file(),
            found_kb: found_bytes >> 10,
            max_kb: max_bytes >> 10,
        });
    }
    let needs_records_service = operator.services.iter().any(Service::is_platform);
    if needs_records_service && server.records.is_none() {
        return Err(ConfigFileError::NoRecordsService { file: file() });
    }
    if let Some(fleet) = &operator.fleet {
        fleet::check_limits(fleet, server)
            .map_err(|source| ConfigFileError::FleetLimit { file: file(), source })?;
    }
    Ok(())
}
