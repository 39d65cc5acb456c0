use super::*;
use serde_json::json;

fn object(value: Value) -> Object {
    value.as_object().expect("an object").clone()
}

#[test]
fn unknown_keys_are_named_by_their_path() {
    let known = json!({"name": "n", "limits": {"cores": 1}, "settings": {"classes": [{"name": "a"}],
                       "family_info": {"n_cores": 2}, "guarantees": {"fall_us": 1}}});
    assert_eq!(unknown_paths(&object(known.clone())), Vec::<String>::new());
    let cases = [
        ("/bogus", "bogus"),
        ("/limits/core", "limits.core"),
        ("/settings/familyinfo", "settings.familyinfo"),
        ("/settings/classes/0/wirte", "settings.classes[0].wirte"),
        ("/settings/family_info/n_core", "settings.family_info.n_core"),
        ("/settings/guarantees/drain_us", "settings.guarantees.drain_us"),
    ];
    for (pointer, path) in cases {
        let mut config = known.clone();
        let (parent, key) = pointer.rsplit_once('/').expect("a parent");
        let parent =
            if parent.is_empty() { &mut config } else { config.pointer_mut(parent).expect("a parent") };
        parent.as_object_mut().expect("an object").insert(key.to_owned(), json!(1));
        assert_eq!(unknown_paths(&object(config)), [path], "{pointer}");
    }
}
