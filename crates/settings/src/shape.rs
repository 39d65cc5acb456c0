//! What requests of a deployment state about themselves. Only the host of an admission controller needs it.

use serde_json::Value;

use crate::fields::{flag, object, optional, text_or, Object};
use crate::SettingsError;

const LOAD_REPORT_VALUES: [&str; 4] = ["", "silent", "pull", "piggyback"];

/// What requests of this deployment state about themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Each request states the timeout of its caller.
    pub passes_deadline: bool,
    /// A request states whether it is a retry.
    pub marks_retry: bool,
}

impl Shape {
    /// Reads the shape from the settings object. Whether timeouts are stated, whether running work can be
    /// preempted and how load is reported are independent settings: any combination is valid.
    ///
    /// # Errors
    /// A field has the wrong type or an unknown value.
    pub fn read(options: &Object) -> Result<Shape, SettingsError> {
        let info = object(options, "family_info")?;
        let passes_deadline = optional(info, "passes_deadline", "true or false", Value::as_bool)?;
        let empty = Object::new();
        let section = |name| optional(options, name, "an object", Value::as_object);
        let load_report = text_or(section("load_report")?.unwrap_or(&empty), "how", "")?;
        // How load is reported is checked for validity only: the value is not used.
        if !LOAD_REPORT_VALUES.contains(&load_report) {
            return Err(SettingsError::unexpected("load_report.how", "silent or pull or piggyback"));
        }
        let marks_retry = flag(section("client_habits")?.unwrap_or(&empty), "marks_retry")?;
        Ok(Shape { passes_deadline: passes_deadline.unwrap_or(true), marks_retry })
    }
}

#[cfg(test)]
mod tests;
