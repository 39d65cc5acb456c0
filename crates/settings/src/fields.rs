//! Typed access to the fields of a JSON object, with errors that name the field.

use serde_json::{Map, Value};

/// A JSON object.
pub type Object = Map<String, Value>;
/// What reading gives, or one plain sentence on what was wrong.
pub type Read<T> = Result<T, String>;

/// The error for a field that is not as expected.
pub fn wrong<T>(field: &str, expected: &str) -> Read<T> {
    Err(format!("field `{field}`: expected {expected}"))
}

/// A field's value; absent and null are the same.
pub fn get<'a>(o: &'a Object, field: &str) -> Option<&'a Value> {
    o.get(field).filter(|v| !v.is_null())
}

/// A field that may be absent, read by `read`.
pub fn optional<'a, T>(
    o: &'a Object,
    field: &str,
    expected: &str,
    read: fn(&'a Value) -> Option<T>,
) -> Read<Option<T>> {
    match get(o, field) {
        None => Ok(None),
        Some(v) => read(v).map_or_else(|| wrong(field, expected), |t| Ok(Some(t))),
    }
}

/// A field that must be there, read by `read`.
pub fn required<'a, T>(
    o: &'a Object,
    field: &str,
    expected: &str,
    read: fn(&'a Value) -> Option<T>,
) -> Read<T> {
    optional(o, field, expected, read)?.map_or_else(|| wrong(field, expected), Ok)
}

/// A whole number.
pub fn whole(o: &Object, field: &str) -> Read<u64> {
    required(o, field, "a whole number of 0 or more", Value::as_u64)
}

/// A whole number, or `absent`.
pub fn whole_or(o: &Object, field: &str, absent: u64) -> Read<u64> {
    Ok(optional(o, field, "a whole number of 0 or more", Value::as_u64)?.unwrap_or(absent))
}

/// A number.
pub fn number(o: &Object, field: &str) -> Read<f64> {
    required(o, field, "a number", Value::as_f64)
}

/// A number, or `absent`.
pub fn number_or(o: &Object, field: &str, absent: f64) -> Read<f64> {
    Ok(optional(o, field, "a number", Value::as_f64)?.unwrap_or(absent))
}

/// A mark; absent means false.
pub fn flag(o: &Object, field: &str) -> Read<bool> {
    Ok(optional(o, field, "true or false", Value::as_bool)?.unwrap_or(false))
}

/// A text.
pub fn text<'a>(o: &'a Object, field: &str) -> Read<&'a str> {
    required(o, field, "a text", Value::as_str)
}

/// A text, or `absent`.
pub fn text_or<'a>(o: &'a Object, field: &str, absent: &'a str) -> Read<&'a str> {
    Ok(optional(o, field, "a text", Value::as_str)?.unwrap_or(absent))
}

/// An object.
pub fn object<'a>(o: &'a Object, field: &str) -> Read<&'a Object> {
    required(o, field, "an object", Value::as_object)
}

/// An array; absent means empty.
pub fn list<'a>(o: &'a Object, field: &str) -> Read<&'a [Value]> {
    Ok(optional(o, field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
}

/// An array of objects; absent means empty.
pub fn objects<'a>(o: &'a Object, field: &str) -> Read<Vec<&'a Object>> {
    let items = list(o, field)?.iter().map(Value::as_object).collect::<Option<Vec<_>>>();
    items.map_or_else(|| wrong(field, "an array of objects"), Ok)
}

/// A text that is one of the known words; `absent` stands for a missing one.
pub fn one_of<T: Copy>(o: &Object, field: &str, absent: &str, known: &[(&str, T)]) -> Read<T> {
    let word = text_or(o, field, absent)?;
    known.iter().find(|(name, _)| *name == word).map_or_else(
        || wrong(field, &known.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(" or ")),
        |(_, value)| Ok(*value),
    )
}
