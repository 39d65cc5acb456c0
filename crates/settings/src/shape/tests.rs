use super::*;
use serde_json::{json, Value};

fn read(options: Value) -> Read<Shape> {
    Shape::read(options.as_object().expect("an object"))
}

#[test]
fn without_new_settings_requests_state_their_wait() {
    let old = Shape { passes_deadline: true, marks_retry: false };
    assert_eq!(read(json!({"family_info": {}})), Ok(old));
    assert_eq!(
        read(json!({"family_info": {"passes_deadline": true}, "load_report": {"how": "pull"}})),
        Ok(old)
    );
}

/// Guards against a server that does not start at another customer's: that waits are stated and how load is reported
/// were taken for one choice.
#[test]
fn each_setting_stands_by_itself() {
    for (passes, marks, how) in [(true, false), (true, true), (false, false), (false, true)]
        .into_iter()
        .flat_map(|(passes, marks)| ["", "silent", "pull", "piggyback"].map(|how| (passes, marks, how)))
    {
        let options = json!({"family_info": {"passes_deadline": passes}, "client_habits": {"marks_retry": marks},
                             "load_report": {"how": how}});
        assert_eq!(read(options), Ok(Shape { passes_deadline: passes, marks_retry: marks }), "{how}");
    }
}

#[test]
fn a_word_or_a_mark_that_makes_no_sense_is_refused_by_its_key() {
    let wrong = [
        (json!({"family_info": {}, "load_report": {"how": "often"}}), "`load_report.how`"),
        (json!({"family_info": {"passes_deadline": 1}}), "`passes_deadline`"),
        (json!({"family_info": {}, "client_habits": {"marks_retry": "no"}}), "`marks_retry`"),
    ];
    for (options, key) in wrong {
        let said = read(options.clone()).expect_err("makes no sense");
        assert!(said.contains(key), "{options}: {said}");
    }
}
