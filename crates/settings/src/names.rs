//! Names in the settings object that a host needs and the admission controller does not.

use umberloom::interface::Gauges;

use crate::fields::{list, object, objects, text, Object};
use crate::SettingsError;

/// The names of the classes, in their order.
///
/// # Errors
/// A class has no name.
pub fn class_names(options: &Object) -> Result<Vec<String>, SettingsError> {
    names(options, "classes")
}

/// The names of the tenants, in their order.
///
/// # Errors
/// A tenant has no name.
pub fn tenant_names(options: &Object) -> Result<Vec<String>, SettingsError> {
    names(options, "realms")
}

fn names(options: &Object, field: &str) -> Result<Vec<String>, SettingsError> {
    objects(options, field)?.into_iter().map(|entry| text(entry, "name").map(String::from)).collect()
}

/// The names of a server's gauges, in the order in which their values come.
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

    /// The readings for these values; gauges with other names are ignored.
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
