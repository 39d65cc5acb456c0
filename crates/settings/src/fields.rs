//! Typed access to the fields of a JSON object, with errors that name the field.
//!
//! A field whose value is null is treated as absent.

use serde_json::{Map, Value};

use crate::SettingsError;

/// A JSON object.
pub type Object = Map<String, Value>;

const UNSIGNED_INTEGER: &str = "a whole number of 0 or more";

/// Returns a field's value, if it is present and not null.
pub fn get<'a>(object: &'a Object, field: &str) -> Option<&'a Value> {
    object.get(field).filter(|value| !value.is_null())
}

/// Reads an optional field and converts it with `convert`; `expected` describes its type in the error.
///
/// # Errors
/// The field is present and `convert` returns `None`.
pub fn optional<'a, T>(
    object: &'a Object,
    field: &str,
    expected: &str,
    convert: fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, SettingsError> {
    let Some(value) = get(object, field) else { return Ok(None) };
    let converted = convert(value).ok_or_else(|| SettingsError::unexpected(field, expected))?;
    Ok(Some(converted))
}

/// Reads a required field and converts it with `convert`; `expected` describes its type in the error.
///
/// # Errors
/// The field is absent, or `convert` returns `None`.
pub fn required<'a, T>(
    object: &'a Object,
    field: &str,
    expected: &str,
    convert: fn(&'a Value) -> Option<T>,
) -> Result<T, SettingsError> {
    optional(object, field, expected, convert)?.ok_or_else(|| SettingsError::unexpected(field, expected))
}

/// Reads a required unsigned integer.
///
/// # Errors
/// The field is absent or has another type.
pub fn integer(object: &Object, field: &str) -> Result<u64, SettingsError> {
    required(object, field, UNSIGNED_INTEGER, Value::as_u64)
}

/// Reads an optional unsigned integer.
///
/// # Errors
/// The field has another type.
pub fn integer_or(object: &Object, field: &str, default: u64) -> Result<u64, SettingsError> {
    Ok(optional(object, field, UNSIGNED_INTEGER, Value::as_u64)?.unwrap_or(default))
}

/// Reads a required number.
///
/// # Errors
/// The field is absent or has another type.
pub fn number(object: &Object, field: &str) -> Result<f64, SettingsError> {
    required(object, field, "a number", Value::as_f64)
}

/// Reads an optional number.
///
/// # Errors
/// The field has another type.
pub fn number_or(object: &Object, field: &str, default: f64) -> Result<f64, SettingsError> {
    Ok(optional(object, field, "a number", Value::as_f64)?.unwrap_or(default))
}

/// Reads an optional boolean; false by default.
///
/// # Errors
/// The field has another type.
pub fn flag(object: &Object, field: &str) -> Result<bool, SettingsError> {
    Ok(optional(object, field, "true or false", Value::as_bool)?.unwrap_or(false))
}

/// Reads a required string.
///
/// # Errors
/// The field is absent or has another type.
pub fn text<'a>(object: &'a Object, field: &str) -> Result<&'a str, SettingsError> {
    required(object, field, "a text", Value::as_str)
}

/// Reads an optional string.
///
/// # Errors
/// The field has another type.
pub fn text_or<'a>(object: &'a Object, field: &str, default: &'a str) -> Result<&'a str, SettingsError> {
    Ok(optional(object, field, "a text", Value::as_str)?.unwrap_or(default))
}

/// Reads a required object.
///
/// # Errors
/// The field is absent or has another type.
pub fn object<'a>(object: &'a Object, field: &str) -> Result<&'a Object, SettingsError> {
    required(object, field, "an object", Value::as_object)
}

/// Reads an optional array; empty by default.
///
/// # Errors
/// The field has another type.
pub fn list<'a>(object: &'a Object, field: &str) -> Result<&'a [Value], SettingsError> {
    Ok(optional(object, field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
}

/// Reads an optional array of objects; empty by default.
///
/// # Errors
/// The field or one of its elements has another type.
pub fn objects<'a>(object: &'a Object, field: &str) -> Result<Vec<&'a Object>, SettingsError> {
    let objects = list(object, field)?.iter().map(Value::as_object).collect::<Option<Vec<_>>>();
    objects.ok_or_else(|| SettingsError::unexpected(field, "an array of objects"))
}

/// Reads a string that must be one of the `known` names, and returns the value paired with that name. An
/// absent field is read as `default`.
///
/// # Errors
/// The field has another type, or its value is not one of the known names.
pub fn one_of<T: Copy>(
    object: &Object,
    field: &str,
    default: &str,
    known: &[(&str, T)],
) -> Result<T, SettingsError> {
    let text = text_or(object, field, default)?;
    if let Some((_, value)) = known.iter().find(|(name, _)| *name == text) {
        return Ok(*value);
    }
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    Err(SettingsError::unexpected(field, &names.join(" or ")))
}
