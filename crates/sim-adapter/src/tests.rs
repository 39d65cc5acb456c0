//! Tests of decoding and encoding each message, and of whole exchanges with the adapter.

use umberloom::interface::*;

use crate::decode::{Decoder, Input, InputKind};
use crate::encode::Reply;
use crate::host::serve;

const OPTIONS: &str = r#"{"classes":[{"aim_us":1300000,"credit":1.0,"effect":"read_like","hard_limit_us":3300000,
"late_worth":0.0,"name":"a","repeat_window_us":5000000},{"aim_us":2200000,"credit":3.0,"effect":"idempotency_key",
"hard_limit_us":5400000,"late_worth":0.2,"name":"b","repeat_window_us":4000000}],"family":"server","unheard_of":[1],
"family_info":{"callers":3,"calls_over_us":5000000,"class_calls":[true,false],"class_skip_worth":[0.3,0.0],
"dep_share":6.0,"downstream":"common","fresh_start":true,"fresh_us":0,"key_kb":170.02,"linger_us":200000,
"mem_limit_kb":110652.0,"meters":["links","core_use","heap_share","novel","on_cores"],"n_cores":6,
"preemption":"pause","run_factor":16.0,"say":"min_rank"},
"guarantees":{"cold_from":0.2,"cold_us":17000000,"drain_grace_us":2500000,"fall_multiple":8.0,"fall_us":1500000,
"grace_to_answer_us":60000},"limits":{"max_retry_after_us":1000000,"retry_after":true},"over_share_worth":0.1,
"realms":[{"name":"t","quota_rps":36.5,"share":0.37}],"servers":10,"tick_us":4000,"tier":1}"#;

fn start(who: u64) -> String {
    let options = OPTIONS.replace('\n', "");
    format!(r#"{{"op":"power_on","who":{who},"init_seed":5,"options":{options}}}"#)
}

/// Decodes one item of `news` as an event of instance 3, which is started before it.
fn event(news: &str) -> Event {
    let line = format!(r#"{{"sim_time_us":9,"news":[{},{news}]}}"#, start(3));
    let batch = Decoder::default().decode(&line).expect("a valid line");
    match batch.inputs.into_iter().nth(1) {
        Some(Input { instance: 3, kind: InputKind::Event(event) }) => event,
        _ => panic!("expected an event of instance 3"),
    }
}

/// Serves these lines; returns the result, with an error as text, and the replies.
fn exchange(lines: &[String]) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = serve(lines.join("\n").as_bytes(), &mut output);
    (result.map_err(|error| error.to_string()), String::from_utf8(output).expect("text"))
}

#[test]
fn settings_are_decoded() {
    let line = format!(r#"{{"sim_time_us":9,"news":[{}]}}"#, start(3));
    let batch = Decoder::default().decode(&line).expect("a valid line");
    let Some(Input { instance: 3, kind: InputKind::Start(settings) }) = batch.inputs.first() else {
        panic!("expected a start of instance 3")
    };
    assert_eq!(
        (batch.now, settings.seed, settings.cores, settings.tier, settings.servers, settings.callers),
        (9, 5, 6, 1, 10, 3)
    );
    assert_eq!(
        (settings.preemption, settings.downstream, settings.load_hint),
        (Preemption::Pause, Downstream::Shared, LoadHintKind::MinRank)
    );
    assert_eq!(
        (settings.classes[0].idempotency, settings.classes[1].idempotency),
        (Idempotency::Idempotent, Idempotency::WithKey)
    );
    assert_eq!(
        (
            settings.classes[0].calls_downstream,
            settings.classes[0].degraded_weight_share,
            settings.classes[1].calls_downstream
        ),
        (true, 0.3, false)
    );
    assert_eq!(
        (settings.classes[1].late_weight_share, settings.classes[1].idempotency_window),
        (0.2, 4_000_000)
    );
    assert_eq!(
        (settings.tenants[0].quota_per_s, settings.over_quota_weight_share, settings.starts_cold),
        (36.5, 0.1, true)
    );
    assert_eq!(
        (settings.overload_per_core, settings.answer_slack, settings.retry_after_max),
        (8.0, 60_000, 1_000_000)
    );
}

#[test]
fn arrivals_are_decoded_with_and_without_optional_fields() {
    let full = r#"{"op":"ingress","who":3,"txn":"rq_b","author":17,"grace_us":240000,"footprint":24.5,
        "queued_for_us":1850,"billing":2,"subject":45,"forerunner":"rq_a","precedence":0.625,"tier_class":1,
        "cost_us":12000,"retry":true}"#;
    let Event::Arrived(arrival) = event(&full.replace('\n', "")) else { panic!("expected an arrival") };
    assert_eq!(
        (&*arrival.id, arrival.caller, arrival.caller_timeout, arrival.queued_kb, arrival.read_delay),
        ("rq_b", 17, Some(240_000), 24.5, 1850)
    );
    assert_eq!(
        (arrival.tenant, arrival.rank, arrival.class, arrival.cost, arrival.is_retry),
        (2, 0.625, 1, Some(12_000), true)
    );
    assert_eq!(arrival.duplicate_of.as_deref(), Some("rq_a"));
    let minimal = r#"{"op":"ingress","who":3,"txn":"x","tier_class":0,"forerunner":0,"grace_us":0}"#;
    let Event::Arrived(arrival) = event(minimal) else { panic!("expected an arrival") };
    assert_eq!(
        (arrival.caller_timeout, arrival.duplicate_of, arrival.cost, arrival.is_retry, arrival.tenant),
        (None, None, None, false, 0)
    );
}

#[test]
fn other_events_are_decoded() {
    let run = |line: &str| match event(line) {
        Event::RunEnded(id, outcome, run_time) => (id.to_string(), outcome, run_time),
        other => panic!("{line}: {other:?}"),
    };
    let call = |line: &str| match event(line) {
        Event::CallEnded(id, outcome, call_time) => (id.to_string(), outcome, call_time),
        other => panic!("{line}: {other:?}"),
    };
    let expected = |outcome, time| ("a".to_owned(), outcome, time);
    let line = r#"{"op":"completed","who":3,"txn":"a","disposition":125,"wait_time_us":5}"#;
    assert_eq!(run(line), expected(Outcome::Aborted, 5));
    let line = r#"{"op":"completed","who":3,"txn":"a","disposition":114}"#;
    assert_eq!(run(line), expected(Outcome::NotStarted, 0));
    let needs_call = event(r#"{"op":"stalled_on_call","who":3,"txn":"a"}"#);
    assert!(matches!(&needs_call, Event::NeedsCall(id) if &**id == "a"), "{needs_call:?}");
    for (code, outcome) in [
        (0, Outcome::Ok),
        (5, Outcome::Error),
        (11, Outcome::Rejected),
        (110, Outcome::TimedOut),
        (111, Outcome::Unreachable),
        (104, Outcome::ConnectionLost),
    ] {
        let line =
            format!(r#"{{"op":"call_result","who":3,"txn":"a","disposition":{code},"wait_time_us":7}}"#);
        assert_eq!(call(&line), expected(outcome, 7));
    }
    let cancelled = event(r#"{"op":"left","who":3,"txn":"a"}"#);
    assert!(matches!(&cancelled, Event::Cancelled(id) if &**id == "a"), "{cancelled:?}");
    let drain = event(r#"{"op":"notice","who":3,"grace_us":44}"#);
    assert!(matches!(drain, Event::Drain { time_left: 44, notified_ago: 0 }), "{drain:?}");
}

#[test]
fn gauges_are_decoded_in_the_order_of_their_names() {
    let Event::Timer(gauges) = event(r#"{"op":"bell","who":3,"nonce":"n","feedback":[120,0.62,0.41,9,3]}"#)
    else {
        panic!("expected a timer")
    };
    assert_eq!(
        (gauges.connections, gauges.cpu, gauges.memory, gauges.core_demand),
        (Some(120.0), Some(0.62), Some(0.41), Some(3.0))
    );
}

#[test]
fn every_action_is_encoded() {
    let id: RequestId = "a".into();
    let cases = [
        (Action::Admit(id.clone()), r#"{"op":"admit","who":3,"txn":"a"}"#),
        (Action::Preempt(id.clone()), r#"{"op":"interrupt","who":3,"txn":"a"}"#),
        (
            Action::Reject { id: id.clone(), retry_after: 9, terminal: true },
            r#"{"op":"deny","who":3,"txn":"a","backoff_us":9,"terminal":true}"#,
        ),
        (Action::Fail(id.clone()), r#"{"op":"lose","who":3,"txn":"a"}"#),
        (Action::Call(id.clone(), 8), r#"{"op":"call_dep","who":3,"txn":"a","expire_at_us":8}"#),
        (Action::SkipCall(id.clone()), r#"{"op":"bypass","who":3,"txn":"a"}"#),
        (Action::RetainKey(id.clone(), 7), r#"{"op":"remember","who":3,"txn":"a","span_us":7}"#),
        (Action::ReleaseKey(id.clone()), r#"{"op":"release_key","who":3,"txn":"a"}"#),
        (Action::AwaitDuplicate(id), r#"{"op":"attach","who":3,"txn":"a"}"#),
        (Action::SetReady(false), r#"{"op":"readiness","who":3,"enable":false,"from_state":true}"#),
        (Action::SetLoadHint(0.25), r#"{"op":"say","who":3,"x":0.25}"#),
        (Action::CloseIdle(70), r#"{"op":"idle","who":3,"span_us":70}"#),
        (Action::WakeAfter(500), r#"{"op":"arm","who":3,"wait_us":500,"nonce":"wake"}"#),
        (Action::Log("hi".into()), r#"{"op":"debug","who":3,"text":"hi"}"#),
    ];
    for (action, expected) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        assert_eq!(String::from_utf8(reply.finish()).expect("text"), format!("{{\"do\":[{expected}]}}\n"));
    }
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let (result, output) = exchange(&[r#"{"sim_time_us":8412250,"news":[]}"#.into()]);
    assert_eq!((result, output.as_str()), (Ok(()), "{\"do\":[]}\n"));
}

#[test]
fn a_request_is_admitted() {
    let first = format!(r#"{{"sim_time_us":9,"news":[{}]}}"#, start(3));
    let request = r#"{"op":"ingress","who":3,"txn":"x","tier_class":0,"footprint":9,"grace_us":900000}"#;
    let (result, output) = exchange(&[first, format!(r#"{{"sim_time_us":10,"news":[{request}]}}"#)]);
    assert_eq!(result, Ok(()));
    assert!(
        output.lines().nth(1).expect("two replies").contains(r#"{"op":"admit","who":3,"txn":"x"}"#),
        "{output}"
    );
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        ("nonsense", "not JSON"),
        ("[]", "expected an object"),
        (r#"{"news":[]}"#, "field `sim_time_us`: expected a whole number"),
        (r#"{"sim_time_us":1}"#, "field `news`: expected an array"),
        (r#"{"sim_time_us":1,"news":[{"op":"left","txn":"a"}]}"#, "field `who`"),
        (r#"{"sim_time_us":1,"news":[{"op":"left","who":3}]}"#, "field `txn`: expected a text"),
        (
            r#"{"sim_time_us":1,"news":[{"op":"ingress","who":3,"txn":"a","tier_class":"b"}]}"#,
            "field `tier_class`",
        ),
        (r#"{"sim_time_us":1,"news":[{"op":"hail","who":3}]}"#, "field `op`"),
        (r#"{"sim_time_us":1,"news":[{"op":"left","who":3,"txn":"a"}]}"#, "instance 3 was never started"),
    ];
    for (line, expected) in cases {
        let (result, output) = exchange(&[r#"{"sim_time_us":1,"news":[]}"#.into(), line.into()]);
        let message = result.expect_err(line);
        assert!(message.starts_with("line 2: ") && message.contains(expected), "{line}: {message}");
        assert_eq!(output, "{\"do\":[]}\n", "only replies are written");
    }
}

#[test]
fn invalid_settings_crash_the_instance_with_the_reason() {
    let line =
        format!(r#"{{"sim_time_us":9,"news":[{}]}}"#, start(3).replace("\"n_cores\":6", "\"n_cores\":0"));
    let (result, output) = exchange(&[line]);
    assert_eq!(result, Ok(()));
    assert!(
        output.contains(r#"{"op":"crash","who":3,"text":"settings make no sense: a server needs"#),
        "{output}"
    );
}

#[test]
fn a_restarted_instance_has_no_requests() {
    let first = format!(r#"{{"sim_time_us":9,"news":[{}]}}"#, start(3));
    let request = r#"{"op":"ingress","who":3,"txn":"x","tier_class":0,"footprint":9,"grace_us":900000}"#;
    let restart = format!(r#"{{"sim_time_us":20,"news":[{{"op":"crash_now","who":3}},{}]}}"#, start(3));
    let timer = r#"{"sim_time_us":999999,"news":[{"op":"bell","who":3,"nonce":"wake","feedback":[]}]}"#;
    let (result, output) =
        exchange(&[first, format!(r#"{{"sim_time_us":10,"news":[{request}]}}"#), restart, timer.into()]);
    assert_eq!(result, Ok(()));
    assert!(!output.lines().last().expect("replies").contains("\"x\""), "{output}");
}
