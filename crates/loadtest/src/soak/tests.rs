use super::*;

#[test]
fn seed_ranges_and_numbers_are_checked() {
    assert_eq!("3..7".parse(), Ok(SeedRange { first: 3, last: 7 }));
    assert_eq!("3..3".parse(), Ok(SeedRange { first: 3, last: 3 }));
    for wrong in ["", "3", "7..3", "a..b", "1..", "..1", "-1..2"] {
        assert!(wrong.parse::<SeedRange>().is_err_and(|error| error.contains("expected A..B")), "{wrong}");
    }
    assert_eq!((parse_seconds("1"), parse_jobs("64")), (Ok(1), Ok(64)));
    for wrong in ["0", "-1", "x", "1000000"] {
        assert!(parse_seconds(wrong).is_err() && parse_jobs(wrong).is_err(), "{wrong}");
    }
    assert!("other".parse::<PlantedFault>().is_err_and(|error| error.contains("late-notice")));
}

#[test]
fn a_seed_always_draws_the_same_run() {
    for seed in 0..50 {
        assert_eq!(Plan::draw(seed).to_string(), Plan::draw(seed).to_string());
    }
}

/// Guards against an excuse that is too wide: a run has no verdict only if nothing but a late exit is wrong,
/// and the machine stood still before it.
#[test]
fn only_a_late_exit_after_a_standstill_of_the_machine_has_no_verdict() {
    let alive = |standstill| Violation::AliveAtKill { standstill };
    let standstill = Some(std::time::Duration::from_millis(20));
    assert!(has_no_verdict(&[alive(standstill)]));
    for verdict in [
        vec![],
        vec![alive(None)],
        vec![alive(standstill), Violation::RanTwice { id: "a".to_owned() }],
        vec![Violation::AnsweredTwice { id: "a".to_owned() }],
    ] {
        assert!(!has_no_verdict(&verdict), "{verdict:?}");
    }
}
