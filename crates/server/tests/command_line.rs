//! Command-line arguments and their errors, and the validation of the configuration before the server starts.

mod common;

use common::run_program;
use serde_json::{json, Value};

fn config() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.1:1", "agent": "127.0.0.1:1", "announce": "127.0.0.1:1",
        "records": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": common::settings()
    })
}

/// Runs a command that must reject this configuration. Returns its standard error, of which exactly one line
/// starts with the program's name.
fn rejection(command: &str, text: &str) -> String {
    let output = run_program(&[command], Some(text));
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(stderr.lines().filter(|line| line.starts_with("umberloom: ")).count(), 1, "{stderr}");
    stderr
}

#[test]
fn check_accepts_a_valid_configuration() {
    let output = run_program(&["check"], Some(&config().to_string()));
    assert!(output.status.success());
    assert_eq!(output.stdout, b"n3: sound\n");
}

#[test]
fn version_is_printed() {
    let output = run_program(&["version"], None);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).expect("text").starts_with("umberloom "));
}

#[test]
fn invalid_values_are_rejected_by_the_name_of_their_field() {
    let cases: [(&str, Value, &str); 15] = [
        ("/listen", json!("nowhere"), "`listen`"),
        ("/agent", json!(7), "`agent`"),
        ("/seed", json!("not hex"), "`seed`"),
        ("/stop_ms", json!(0), "`stop_ms`"),
        ("/stop_ms", json!(-1), "`stop_ms`"),
        ("/limits/memory_mb", json!(1), "memory_mb"),
        ("/limits/sockets", json!(8), "sockets"),
        ("/settings/family_info/n_cores", json!(0), "at least one core"),
        ("/settings/classes", json!([]), "no request class"),
        ("/settings/classes/0/write", json!(3), "`write`"),
        (
            "/settings/classes/1",
            json!({"name": "book", "aim_us": 1, "hard_limit_us": 2, "credit": 1.0, "effect": "idempotency_key"}),
            "`classes[1].repeat_window_us`",
        ),
        ("/settings/classes/0/name", json!("a/b"), "no name"),
        ("/settings/family_info/say", json!("loudly"), "`say`"),
        ("/settings/realms", json!([{"quota_rps": 3.0}]), "`name`"),
        ("/settings/realms", json!([{"name": "", "quota_rps": 3.0}]), "tenant has no name"),
    ];
    for (path, value, expected) in cases {
        let mut config = config();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        let parent = config.pointer_mut(parent).expect("a parent");
        match parent.as_object_mut() {
            Some(fields) => drop(fields.insert(key.to_owned(), value)),
            None => parent[key.parse::<usize>().expect("an index")] = value,
        }
        let stderr = rejection("check", &config.to_string());
        assert!(stderr.contains(expected), "{path}: {stderr}");
    }
}

/// An error about a field names the file, the line of the field and the reason.
#[test]
fn errors_name_the_line_of_the_field() {
    let mut config = config();
    let class_with_zero_window = json!({"name": "search", "aim_us": 1, "hard_limit_us": 2, "credit": 1.0,
                                      "effect": "idempotency_key", "repeat_window_us": 0});
    *config.pointer_mut("/settings/classes/0").expect("a class") = class_with_zero_window;
    let text = serde_json::to_string_pretty(&config).expect("text");
    let line = 1 + text.lines().position(|l| l.contains("\"repeat_window_us\"")).expect("the field");
    for command in ["check", "serve"] {
        let stderr = rejection(command, &text);
        let expected = format!(":{line}: field `classes[0].repeat_window_us`: a keyed class needs");
        assert!(stderr.contains(&expected), "{stderr}");
    }
}

/// Guards against a first-tier server that does not start: the next tier is reached at the address `records`,
/// as the dependency shared by all servers is. Without that address its calls would go nowhere, so it is
/// required at the start.
#[test]
fn any_downstream_needs_an_address_for_records() {
    for downstream in ["common", "next_hop"] {
        let mut config = config();
        config["settings"]["family_info"]["downstream"] = json!(downstream);
        let output = run_program(&["check"], Some(&config.to_string()));
        assert!(output.status.success(), "{downstream}: {output:?}");
        config.as_object_mut().expect("an object").remove("records");
        assert!(rejection("check", &config.to_string()).contains("`records` is absent"), "{downstream}");
    }
}

/// Guards against a server that does not start with another customer's configuration: these settings are
/// independent of each other, so every combination is valid.
#[test]
fn settings_are_valid_in_any_combination() {
    let set = |config: &mut Value, path: &str, value: Value| {
        let (parent, key) = path.rsplit_once('/').expect("a path");
        config.pointer_mut(parent).expect("a parent")[key] = value;
    };
    let combinations = ["silent", "pull", "piggyback"]
        .into_iter()
        .flat_map(|report| ["silent", "drop", "pause"].map(|preemption| (report, preemption)))
        .flat_map(|(report, preemption)| {
            ["silent", "min_rank", "tokens", "bias"].map(|hint| (report, preemption, hint))
        })
        .zip(["read_like", "idempotency_key", "non_idempotent"].into_iter().cycle())
        .zip([true, false, false, true].into_iter().cycle());
    for (((report, preemption, hint), effect), marks_retry) in combinations {
        let mut config = config();
        set(&mut config, "/settings/load_report", json!({"how": report}));
        set(&mut config, "/settings/client_habits", json!({"marks_retry": marks_retry}));
        set(
            &mut config,
            "/settings/realms",
            json!([{"name": "a", "quota_rps": 3.5}, {"name": "b", "quota_rps": 1}]),
        );
        set(&mut config, "/settings/family_info/passes_deadline", json!(!marks_retry));
        set(&mut config, "/settings/family_info/preemption", json!(preemption));
        set(&mut config, "/settings/family_info/say", json!(hint));
        set(&mut config, "/settings/classes/0/effect", json!(effect));
        set(&mut config, "/settings/classes/0/write", json!(true));
        set(&mut config, "/settings/classes/0/repeat_window_us", json!(3_000_000));
        let output = run_program(&["check"], Some(&config.to_string()));
        assert!(output.status.success(), "{report} {preemption} {hint} {effect} {marks_retry}: {output:?}");
    }
}

/// Guards against a typing error that leaves a setting at its default unnoticed (`wirte` for `write`): a
/// warning names the line of the unknown key. The key is not rejected, as the fleet's files may have keys of
/// their own, such as `admin`.
#[test]
fn unknown_keys_are_warned_about_with_their_line() {
    let mut config = config();
    let class = config.pointer_mut("/settings/classes/0").expect("a class");
    class.as_object_mut().expect("an object").insert("wirte".to_owned(), json!(true));
    let text = serde_json::to_string_pretty(&config).expect("text");
    let line = 1 + text.lines().position(|l| l.contains("\"wirte\"")).expect("the field");
    let output = run_program(&["check"], Some(&text));
    assert!(output.status.success(), "{output:?}");
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert!(
        stderr.contains(&format!(":{line}: field `settings.classes[0].wirte` is no key known here")),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

/// Guards against a server that does not start for a customer whose idempotency keys take little memory. Any
/// size is safe, as a full table rejects first attempts and drops no live key
/// (`memory/idempotency_cache/tests.rs`, `admission/tests`).
#[test]
fn idempotency_keys_may_have_any_size() {
    let class = json!({"name": "book", "aim_us": 1, "hard_limit_us": 2, "credit": 1.0,
                       "effect": "idempotency_key", "repeat_window_us": 12_309_000});
    let mut config = config();
    *config.pointer_mut("/settings/classes/1").expect("a class") = class;
    for size_kb in [170.0, 1.0, 0.0] {
        *config.pointer_mut("/settings/family_info/key_kb").expect("a field") = json!(size_kb);
        let output = run_program(&["check"], Some(&config.to_string()));
        assert!(output.status.success(), "{size_kb}: {output:?}");
    }
}

#[test]
fn serve_rejects_a_broken_or_missing_configuration() {
    assert!(rejection("serve", "{").contains("not JSON"));
    assert!(rejection("serve", "[]").contains("expected an object"));
    assert!(rejection("serve", "{}").contains("`settings`"));
    let missing_file = run_program(&["serve", "--config", "/nonexistent/config.json"], None);
    assert!(!missing_file.status.success());
    assert!(String::from_utf8(missing_file.stderr).expect("text").contains("/nonexistent/config.json"));
    let without_path = run_program(&["serve"], None);
    assert!(!without_path.status.success() && !without_path.stderr.is_empty());
}

#[test]
fn serve_names_an_address_in_use() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = config();
    config["listen"] = json!(occupied.local_addr().expect("an address"));
    assert!(rejection("serve", &config.to_string()).contains("listen on 127.0.0.1:"));
}

#[test]
fn unknown_commands_and_options_are_rejected() {
    for arguments in [&["unheard-of"][..], &[], &["serve", "--unheard-of"]] {
        let output = run_program(arguments, None);
        assert!(!output.status.success(), "{arguments:?}");
        assert!(!output.stderr.is_empty() && output.stdout.is_empty(), "{arguments:?}");
    }
}
