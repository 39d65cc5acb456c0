use super::*;
use serde_json::json;

fn read(options: &Value) -> Result<Shape, SettingsError> {
    Shape::read(options.as_object().expect("an object"))
}

#[test]
fn timeouts_are_stated_by_default() {
    let default = Shape { passes_deadline: true, marks_retry: false };
    assert_eq!(read(&json!({"family_info": {}})), Ok(default));
    assert_eq!(
        read(&json!({"family_info": {"passes_deadline": true}, "load_report": {"how": "pull"}})),
        Ok(default)
    );
}

/// Guards against a server that does not start with the settings of another deployment, because whether
/// timeouts are stated and how load is reported were treated as a single setting.
#[test]
fn timeouts_retry_marks_and_load_reports_are_independent() {
    for (passes_deadline, marks_retry, how) in [(true, false), (true, true), (false, false), (false, true)]
        .into_iter()
        .flat_map(|(passes_deadline, marks_retry)| {
            ["", "silent", "pull", "piggyback"].map(|how| (passes_deadline, marks_retry, how))
        })
    {
        let options = json!({"family_info": {"passes_deadline": passes_deadline},
                             "client_habits": {"marks_retry": marks_retry},
                             "load_report": {"how": how}});
        assert_eq!(read(&options), Ok(Shape { passes_deadline, marks_retry }), "{how}");
    }
}

#[test]
fn errors_name_the_field() {
    let cases = [
        (json!({"family_info": {}, "load_report": {"how": "often"}}), "`load_report.how`"),
        (json!({"family_info": {"passes_deadline": 1}}), "`passes_deadline`"),
        (json!({"family_info": {}, "client_habits": {"marks_retry": "no"}}), "`marks_retry`"),
    ];
    for (options, key) in cases {
        let error = read(&options).expect_err("an invalid value");
        assert!(error.to_string().contains(key), "{options}: {error}");
    }
}
