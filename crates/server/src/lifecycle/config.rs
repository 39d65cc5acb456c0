//! The platform's configuration of one server, in JSON.

mod error;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use umberloom::interface::{Downstream, Settings};
use umberloom_settings::fields::{integer, integer_or, number_or, object, text, Object};
use umberloom_settings::shape::Shape;
use umberloom_settings::{class_names, locate, settings, tenant_names, GaugeNames};

use super::known_config_keys;
pub use error::{ConfigError, ImmutableFieldError, InvalidConfig, Location};

/// The smallest accepted memory limit, in bytes.
const MIN_MEMORY_BYTES: usize = 16 << 20;
/// The smallest accepted limit on file descriptors.
const MIN_SOCKETS: usize = 32;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Processor cores; may be a fraction.
    pub cores: f64,
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The contents of the platform's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The server's name.
    pub name: String,
    /// Address on which balancers connect.
    pub listen: SocketAddr,
    /// Address of the render farm agent.
    pub agent: SocketAddr,
    /// Address of the announce service.
    pub announce: SocketAddr,
    /// Address of the records service; `None` where no downstream calls are made.
    pub records: Option<SocketAddr>,
    /// Time from the request to shut down to the end of the process, in microseconds.
    pub shutdown_time: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Settings of the admission controller.
    pub settings: Settings,
    /// Which fields requests carry.
    pub shape: Shape,
    /// Names of the classes, in the order of the configuration.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the configuration; may be empty.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order of the configuration.
    pub gauges: GaugeNames,
    /// Keys that this program does not know. They are reported and otherwise ignored.
    pub unknown_keys: Vec<UnknownKey>,
}

/// A configuration key that this program does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKey {
    /// File and line of the key.
    pub location: Location,
    /// Path of the key, such as `settings.classes[0].wirte`.
    pub key: String,
}

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration {}: field `{}` is no key known here; disregarded", self.location, self.key)
    }
}

impl Config {
    /// Reads and validates the configuration in a file. Errors name the line of the invalid field.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let file = path.display().to_string();
        let bytes =
            std::fs::read(path).map_err(|source| ConfigError::Unreadable { file: file.clone(), source })?;
        let json = String::from_utf8_lossy(&bytes);
        let location_of = |field: &str| Location { file: file.clone(), line: locate::line_of(&json, field) };
        let mut config = Config::parse(&bytes).map_err(|source| {
            let location = match locate::quoted_field(&source.to_string()) {
                Some(field) => location_of(field),
                None => Location { file: file.clone(), line: None },
            };
            ConfigError::Invalid { location, source }
        })?;
        let value: Option<Value> = serde_json::from_slice(&bytes).ok();
        if let Some(Value::Object(top)) = value {
            let unknown = known_config_keys::unknown_paths(&top).into_iter();
            config.unknown_keys =
                unknown.map(|key| UnknownKey { location: location_of(&key), key }).collect();
        }
        Ok(config)
    }

    /// Parses and validates a configuration.
    pub fn parse(bytes: &[u8]) -> Result<Config, InvalidConfig> {
        let value: Value = serde_json::from_slice(bytes).map_err(InvalidConfig::NotJson)?;
        let Value::Object(top) = value else { return Err(InvalidConfig::NotAnObject) };
        let settings_object = object(&top, "settings")?;
        let settings = settings(settings_object, seed(&top)?)?;
        let config = Config {
            name: text(&top, "name")?.to_owned(),
            listen: address(&top, "listen")?,
            agent: address(&top, "agent")?,
            announce: address(&top, "announce")?,
            records: if top.contains_key("records") { Some(address(&top, "records")?) } else { None },
            shutdown_time: integer(&top, "stop_ms")?.saturating_mul(1_000),
            limits: limits(&top)?,
            shape: Shape::read(settings_object)?,
            settings,
            classes: class_names(settings_object)?,
            tenants: tenant_names(settings_object)?,
            gauges: GaugeNames::read(settings_object)?,
            unknown_keys: Vec::new(),
        };
        config.validate()?;
        Ok(config)
    }

    /// Rejects values that contradict each other or that the protocols can't express.
    fn validate(&self) -> Result<(), InvalidConfig> {
        self.settings.validate().map_err(|e| InvalidConfig::Settings(e.to_string()))?;
        let is_path_segment = |name: &String| !name.is_empty() && !name.contains('/');
        let rules = [
            (self.tenants.iter().all(|name| !name.is_empty()), "a tenant has no name"),
            // The next tier is valid too: it is reached at `records`, through a balancer of the platform. A
            // rule that rejected it once kept servers with a next tier from starting.
            (
                self.settings.downstream == Downstream::None || self.records.is_some(),
                "downstream calls are configured, but `records` is absent",
            ),
            (
                self.classes.iter().all(is_path_segment),
                "a class has no name, or a name that is not a path segment",
            ),
            (
                !self.name.is_empty() && self.name.bytes().all(is_unreserved),
                "`name` must be a path segment of letters, digits, '-', '_' and '.'",
            ),
            (self.limits.memory_bytes >= MIN_MEMORY_BYTES, "`limits.memory_mb` must be at least 16"),
            (self.limits.sockets >= MIN_SOCKETS, "`limits.sockets` must be at least 32"),
            (self.shutdown_time > 0, "`stop_ms` must be above 0"),
        ];
        match rules.iter().find(|(valid, _)| !valid) {
            Some((_, reason)) => Err(InvalidConfig::Rule(reason)),
            None => Ok(()),
        }
    }

    /// Checks whether a running server can apply `new`: only the addresses of peers and the time from a
    /// shutdown request to the end of the process may differ. The error names the first other field that
    /// differs. `seed` and `fresh_start` are not compared: they matter only when a process starts.
    pub fn check_reload(&self, new: &Config) -> Result<(), ImmutableFieldError> {
        let mut settings = new.settings.clone();
        settings.seed = self.settings.seed;
        settings.starts_cold = self.settings.starts_cold;
        let settings_unchanged = self.settings == settings
            && self.shape == new.shape
            && self.classes == new.classes
            && self.tenants == new.tenants
            && self.gauges == new.gauges;
        let fields = [
            (self.name == new.name, "name"),
            (self.listen == new.listen, "listen"),
            (self.limits == new.limits, "limits"),
            (settings_unchanged, "settings"),
        ];
        match fields.iter().find(|(unchanged, _)| !unchanged) {
            Some((_, field)) => Err(ImmutableFieldError { field }),
            None => Ok(()),
        }
    }
}

/// Whether a byte may appear unescaped in a path segment (RFC 3986, 2.3, without `~`).
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn address(top: &Object, field: &'static str) -> Result<SocketAddr, InvalidConfig> {
    text(top, field)?.parse().map_err(|_| InvalidConfig::Address { field })
}

fn seed(top: &Object) -> Result<u64, InvalidConfig> {
    u64::from_str_radix(text(top, "seed")?, 16).map_err(|_| InvalidConfig::Seed)
}

fn limits(top: &Object) -> Result<Limits, InvalidConfig> {
    let limits = object(top, "limits")?;
    Ok(Limits {
        memory_bytes: integer(limits, "memory_mb")?.saturating_mul(1 << 20) as usize,
        cores: number_or(limits, "cores", 1.0)?,
        sockets: integer_or(limits, "sockets", 1024)? as usize,
    })
}
