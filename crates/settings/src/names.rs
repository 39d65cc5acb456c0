//! Names in the settings that a host needs and the module does not.

use umberloom::interface::Gauges;

use crate::fields::{list, object, objects, text, wrong, Object, Read};

/// The names of the classes, in their order.
pub fn class_names(options: &Object) -> Read<Vec<String>> {
    objects(options, "classes")?.into_iter().map(|o| text(o, "name").map(String::from)).collect()
}

/// The names of the tenants, in their order.
pub fn tenant_names(options: &Object) -> Read<Vec<String>> {
    objects(options, "realms")?.into_iter().map(|o| text(o, "name").map(String::from)).collect()
}

/// The names of an instance's gauges, in the order in which their values come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GaugeNames(Vec<String>);

impl GaugeNames {
    /// The names in `options`.
    pub fn read(options: &Object) -> Read<GaugeNames> {
        let names = list(object(options, "family_info")?, "meters")?;
        let names = names.iter().map(|v| v.as_str().map(String::from)).collect::<Option<Vec<_>>>();
        names.map_or_else(|| wrong("family_info.meters", "an array of texts"), |names| Ok(GaugeNames(names)))
    }

    /// The gauges with these values; names that nobody asks for are passed over.
    pub fn gauges(&self, values: impl IntoIterator<Item = f64>) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.0.iter().zip(values) {
            match name.as_str() {
                "core_use" => gauges.cpu = Some(value),
                "on_cores" => gauges.on_cores = Some(value),
                "heap_share" => gauges.memory = Some(value),
                "links" => gauges.connections = Some(value),
                _ => {}
            }
        }
        gauges
    }
}
