//! What requests say of themselves: the part of a deployment's shape that a host needs and the module does not.

use crate::fields::{flag, object, optional, text_or, Object, Read};

/// How requests come at this deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Each states how long its caller waits.
    pub passes_deadline: bool,
    /// Further tries are marked as such.
    pub marks_retry: bool,
}

impl Shape {
    /// The shape that `options` describe. Each setting stands by itself: whether waits are stated, whether running work
    /// can be stopped and how load is reported come in any mix.
    pub fn read(options: &Object) -> Read<Shape> {
        let info = object(options, "family_info")?;
        let passes = optional(info, "passes_deadline", "true or false", serde_json::Value::as_bool)?;
        let passes_deadline = passes.unwrap_or(true);
        let empty = Object::new();
        let part = |name| optional(options, name, "an object", serde_json::Value::as_object);
        let report = text_or(part("load_report")?.unwrap_or(&empty), "how", "")?;
        if !["", "silent", "pull", "piggyback"].contains(&report) {
            return Err("field `load_report.how`: expected silent or pull or piggyback".into());
        }
        let marks_retry = flag(part("client_habits")?.unwrap_or(&empty), "marks_retry")?;
        Ok(Shape { passes_deadline, marks_retry })
    }
}

#[cfg(test)]
mod tests;
