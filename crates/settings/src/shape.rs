//! What requests say of themselves: the part of a deployment's shape that a host needs and the module does not.

use umberloom::interface::Halt;

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
    /// The shape that `options` describe. Settings of two shapes are refused, by the key that does not fit.
    pub fn read(options: &Object, halt: Halt) -> Read<Shape> {
        let info = object(options, "family_info")?;
        let passes = optional(info, "passes_deadline", "true or false", serde_json::Value::as_bool)?;
        let passes_deadline = passes.unwrap_or(true);
        let empty = Object::new();
        let part = |name| optional(options, name, "an object", serde_json::Value::as_object);
        let report = text_or(part("load_report")?.unwrap_or(&empty), "how", "")?;
        if !["", "silent", "pull", "piggyback"].contains(&report) {
            return Err("field `load_report.how`: expected silent or pull or piggyback".into());
        }
        let stated = if passes_deadline { "true or absent" } else { "false" };
        let mixed = |key: &str, why: &str| {
            Err(format!(
                "field `{key}`: {why}, but `family_info.passes_deadline` is {stated}: two shapes mixed"
            ))
        };
        if passes_deadline && report == "piggyback" {
            return mixed("load_report.how", "reports ride on answers");
        }
        if !passes_deadline && report == "pull" {
            return mixed("load_report.how", "reports are pulled");
        }
        if !passes_deadline && halt != Halt::Never {
            return mixed("family_info.preemption", "running work is stopped");
        }
        let marks_retry = flag(part("client_habits")?.unwrap_or(&empty), "marks_retry")?;
        Ok(Shape { passes_deadline, marks_retry })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{json, Value};

    fn read(options: Value, halt: Halt) -> Read<Shape> {
        Shape::read(options.as_object().expect("an object"), halt)
    }

    #[test]
    fn without_new_settings_requests_state_their_wait() {
        let old = Shape { passes_deadline: true, marks_retry: false };
        assert_eq!(read(json!({"family_info": {}}), Halt::Pause), Ok(old));
        let pulled = json!({"family_info": {"passes_deadline": true}, "load_report": {"how": "pull"}});
        assert_eq!(read(pulled, Halt::Drop), Ok(old));
    }

    #[test]
    fn the_new_shape_is_read_as_a_whole() {
        let options = json!({"family_info": {"passes_deadline": false}, "client_habits": {"marks_retry": true},
                             "load_report": {"how": "piggyback"}});
        let new = Shape { passes_deadline: false, marks_retry: true };
        assert_eq!(read(options, Halt::Never), Ok(new));
    }

    #[test]
    fn a_mix_of_shapes_is_refused_by_its_key() {
        let mixes = [
            (
                json!({"family_info": {}, "load_report": {"how": "piggyback"}}),
                Halt::Pause,
                "`load_report.how`",
            ),
            (
                json!({"family_info": {"passes_deadline": false}, "load_report": {"how": "pull"}}),
                Halt::Never,
                "`load_report.how`",
            ),
            (json!({"family_info": {"passes_deadline": false}}), Halt::Pause, "`family_info.preemption`"),
            (json!({"family_info": {}, "load_report": {"how": "often"}}), Halt::Pause, "`load_report.how`"),
            (json!({"family_info": {"passes_deadline": 1}}), Halt::Never, "`passes_deadline`"),
        ];
        for (options, halt, key) in mixes {
            let said = read(options.clone(), halt).expect_err("a mix");
            assert!(said.contains(key), "{options}: {said}");
        }
    }
}
