//! What can be wrong with a settings object.

use thiserror::Error;

/// A field of the settings object, or of another JSON object read by [`fields`](crate::fields), can't be used. The
/// text names the field between backticks.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A required field is absent, or a value has the wrong type or is not one of the known words.
    #[error("field `{field}`: expected {expected}")]
    UnexpectedValue {
        /// The key, or a path such as `load_report.how`.
        field: String,
        /// What was expected.
        expected: String,
    },
    /// A class with idempotency keys says for how long they count.
    #[error("field `classes[{class}].repeat_window_us`: a keyed class needs a window above 0")]
    MissingIdempotencyWindow {
        /// Index of the class.
        class: usize,
    },
}

impl SettingsError {
    /// The error for a field whose value is absent or not as expected.
    pub fn unexpected(field: &str, expected: &str) -> SettingsError {
        SettingsError::UnexpectedValue { field: field.to_owned(), expected: expected.to_owned() }
    }
}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
