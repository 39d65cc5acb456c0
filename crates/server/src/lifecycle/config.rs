//! The configuration that a server is given.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use umberloom::interface::{Downstream, Settings};

use super::known_config_keys;
use umberloom_settings::fields::{integer, integer_or, number_or, object, text, Object};
use umberloom_settings::shape::Shape;
use umberloom_settings::{class_names, locate, settings, tenant_names, GaugeNames};

/// What the process may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Of a core.
    pub cores: f64,
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// Everything that a server is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// The render farm agent.
    pub agent: SocketAddr,
    /// The announce service.
    pub announce: SocketAddr,
    /// The records service; absent where nothing is called.
    pub records: Option<SocketAddr>,
    /// From the notice to drain to the end, in microseconds.
    pub stop: u64,
    /// What the process may take.
    pub limits: Limits,
    /// What the module is told.
    pub settings: Settings,
    /// What requests say of themselves.
    pub shape: Shape,
    /// Names of the classes, in their order.
    pub classes: Vec<String>,
    /// Names of the tenants, in their order; may be empty.
    pub tenants: Vec<String>,
    /// Names of the gauges, in their order.
    pub gauges: GaugeNames,
    /// What is to be told about the file without refusing it: keys that it is not known to hold, by line.
    pub warnings: Vec<String>,
}

impl Config {
    /// Reads and checks the configuration in a file.
    pub fn load(path: &Path) -> Result<Config, String> {
        let place = |why: String| format!("configuration {}: {why}", path.display());
        let bytes = std::fs::read(path).map_err(|e| place(e.to_string()))?;
        let text = String::from_utf8_lossy(&bytes);
        // A complaint that names a field names the line where it stands too.
        let at = |field: &str| match locate::line_of(&text, field) {
            Some(line) => format!("configuration {}:{line}", path.display()),
            None => format!("configuration {}", path.display()),
        };
        let mut config = Config::parse(&bytes).map_err(|why| match locate::quoted_field(&why) {
            Some(field) => format!("{}: {why}", at(field)),
            None => place(why),
        })?;
        let top = serde_json::from_slice::<Value>(&bytes).ok().and_then(|v| v.as_object().cloned());
        let strays = top.map(|top| known_config_keys::unknown(&top)).unwrap_or_default();
        let said =
            |field: &String| format!("{}: field `{field}` is no key known here; disregarded", at(field));
        config.warnings = strays.iter().map(said).collect();
        Ok(config)
    }

    /// Reads and checks a configuration.
    pub fn parse(bytes: &[u8]) -> Result<Config, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("not JSON: {e}"))?;
        let Value::Object(top) = value else { return Err("expected an object".into()) };
        let options = object(&top, "settings")?;
        let set = settings(options, seed(&top)?)?;
        let config = Config {
            name: text(&top, "name")?.to_owned(),
            listen: address(&top, "listen")?,
            agent: address(&top, "agent")?,
            announce: address(&top, "announce")?,
            records: if top.contains_key("records") { Some(address(&top, "records")?) } else { None },
            stop: integer(&top, "stop_ms")?.saturating_mul(1_000),
            limits: limits(&top)?,
            shape: Shape::read(options)?,
            settings: set,
            classes: class_names(options)?,
            tenants: tenant_names(options)?,
            gauges: GaugeNames::read(options)?,
            warnings: Vec::new(),
        };
        config.check()?;
        Ok(config)
    }

    /// Refuses what makes no sense, and what this protocol has no words for.
    fn check(&self) -> Result<(), String> {
        self.settings.validate().map_err(|e| e.to_string())?;
        let set = &self.settings;
        let named = |name: &String| !name.is_empty() && !name.contains('/');
        let rules = [
            (self.tenants.iter().all(|name| !name.is_empty()), "a tenant has no name"),
            // The next tier too is reached there, through a balancer of the platform's: guards against refusing to start
            // for a customer who has one.
            (
                set.downstream == Downstream::None || self.records.is_some(),
                "calls are made, but `records` is absent",
            ),
            (self.classes.iter().all(named), "a class has no name, or one that is no part of a path"),
            (!self.name.is_empty() && self.name.bytes().all(plain), "`name` is no part of a path"),
            (self.limits.memory >= 16 << 20, "`limits.memory_mb` is under 16"),
            (self.limits.sockets >= 32, "`limits.sockets` is under 32"),
            (self.stop > 0, "`stop_ms` must be above 0"),
        ];
        rules.iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, why)| Err((*why).to_owned()))
    }
}

impl Config {
    /// Whether a running program can go over to `new`: only addresses of peers and the time to leave may
    /// differ. Names the first field that may not. What describes a start (`seed`, `fresh_start`) is not
    /// compared, as it says nothing of a process that has started.
    pub fn can_become(&self, new: &Config) -> Result<(), String> {
        let mut settings = new.settings.clone();
        (settings.seed, settings.starts_cold) = (self.settings.seed, self.settings.starts_cold);
        let same = [
            (self.name == new.name, "name"),
            (self.listen == new.listen, "listen"),
            (self.limits == new.limits, "limits"),
            (
                self.settings == settings
                    && self.shape == new.shape
                    && self.classes == new.classes
                    && self.tenants == new.tenants
                    && self.gauges == new.gauges,
                "settings",
            ),
        ];
        let changed = same.iter().find(|(same, _)| !same);
        changed.map_or(Ok(()), |(_, field)| Err(format!("`{field}` cannot change while running")))
    }
}

fn plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn address(o: &Object, field: &str) -> Result<SocketAddr, String> {
    text(o, field)?.parse().map_err(|_| format!("field `{field}`: expected an address and a port"))
}

fn seed(o: &Object) -> Result<u64, String> {
    u64::from_str_radix(text(o, "seed")?, 16).map_err(|_| "field `seed`: expected hex digits".to_owned())
}

fn limits(o: &Object) -> Result<Limits, String> {
    let o = object(o, "limits")?;
    let memory = integer(o, "memory_mb")?.saturating_mul(1 << 20) as usize;
    Ok(Limits {
        cores: number_or(o, "cores", 1.0)?,
        memory,
        sockets: integer_or(o, "sockets", 1024)? as usize,
    })
}
