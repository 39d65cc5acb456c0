//! Names in the settings object that only the host of an admission controller needs.

use umberloom::interface::Gauges;

use crate::fields::{list, object, objects, text, Object};
use crate::SettingsError;

/// Returns the names of the classes, in the order of the settings.
///
/// # Errors
/// A class has no name.
pub fn class_names(options: &Object) -> Result<Vec<String>, SettingsError> {
    names(options, "classes")
}

/// Returns the names of the tenants, in the order of the settings.
///
/// # Errors
/// A tenant has no name.
pub fn tenant_names(options: &Object) -> Result<Vec<String>, SettingsError> {
    names(options, "realms")
}

fn names(options: &Object, field: &str) -> Result<Vec<String>, SettingsError> {
    objects(options, field)?.into_iter().map(|entry| text(entry, "name").map(String::from)).collect()
}

/// The names of a server's gauges, in the order in which their values are reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GaugeNames(Vec<String>);

impl GaugeNames {
    /// Reads the names from the settings object.
    ///
    /// # Errors
    /// `family_info` is absent, or `meters` is not an array of strings.
    pub fn read(options: &Object) -> Result<GaugeNames, SettingsError> {
        let meters = list(object(options, "family_info")?, "meters")?;
        let names = meters.iter().map(|meter| meter.as_str().map(String::from)).collect::<Option<Vec<_>>>();
        let names =
            names.ok_or_else(|| SettingsError::unexpected("family_info.meters", "an array of texts"))?;
        Ok(GaugeNames(names))
    }

    /// Returns the gauges with these values, which are in the order of the names. Values under other names
    /// are ignored.
    pub fn gauges(&self, values: impl IntoIterator<Item = f64>) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.0.iter().zip(values) {
            match name.as_str() {
                "core_use" => gauges.cpu = Some(value),
                "on_cores" => gauges.core_demand = Some(value),
                "heap_share" => gauges.memory = Some(value),
                "links" => gauges.connections = Some(value),
                _ => {}
            }
        }
        gauges
    }
}
