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
