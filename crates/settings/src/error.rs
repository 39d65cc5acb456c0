//! Errors in a settings object.

use thiserror::Error;

/// An invalid field of the settings object, or of another JSON object read by [`fields`](crate::fields). The
/// message names the field between backticks.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A required field is absent, or a value has the wrong type or is not one of the known values.
    #[error("field `{field}`: expected {expected}")]
    UnexpectedValue {
        /// The key of the field, or a path such as `load_report.how`.
        field: String,
        /// Description of the expected value.
        expected: String,
    },
    /// A class with idempotency keys does not state for how long a key is retained.
    #[error("field `classes[{class}].repeat_window_us`: a keyed class needs a window above 0")]
    MissingIdempotencyWindow {
        /// Index of the class in `classes`.
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
