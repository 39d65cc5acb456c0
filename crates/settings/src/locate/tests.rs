use super::*;

const TEXT: &str = r#"{
  "name": "n1",
  "settings": {
    "classes": [
      { "name": "a", "effect": "read_like" },
      { "name": "b\"", "write": true,
        "effect": "read_like" }
    ],
    "family_info": { "key_kb": 0 }
  }
}"#;

#[test]
fn a_field_is_found_by_the_end_of_its_path() {
    assert_eq!(line_of(TEXT, "classes[1].write"), Some(6));
    assert_eq!(line_of(TEXT, "classes[1].effect"), Some(7));
    assert_eq!(line_of(TEXT, "classes[0].effect"), Some(5));
    assert_eq!(line_of(TEXT, "family_info.key_kb"), Some(9));
    assert_eq!(line_of(TEXT, "name"), Some(2));
}

#[test]
fn an_absent_field_has_no_line() {
    assert_eq!(line_of(TEXT, "classes[2].write"), None);
    assert_eq!(line_of(TEXT, "classes[x].write"), None);
    assert_eq!(line_of(TEXT, ""), None);
    assert_eq!(line_of("{\"a\": \"unended", "a"), Some(1));
}

#[test]
fn the_quoted_field_is_the_first_between_backticks() {
    assert_eq!(quoted_field("field `classes[1].write`: a write needs `effect`"), Some("classes[1].write"));
    assert_eq!(quoted_field("no field"), None);
}
