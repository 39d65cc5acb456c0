use super::*;

#[test]
fn shares_add_up_to_the_total_whatever_the_order_of_the_roster() {
    for total in 3..40 {
        let roster = ["c", "a", "b"].map(MemberName::from);
        let reordered = ["b", "c", "a"].map(MemberName::from);
        assert_eq!(quota_shares(total, &roster), quota_shares(total, &reordered));
        assert_eq!(quota_shares(total, &roster).iter().map(|share| share.permits).sum::<u32>(), total);
    }
}

#[test]
fn each_invalid_setting_is_rejected() {
    let valid = Config::new(10, &["a", "b"], "a");
    assert!(valid.validate().is_empty());
    let cases = [
        Config::new(10, &["a", "a"], "a"),
        Config::new(10, &["a", "b"], "c"),
        Config::new(1, &["a", "b"], "a"),
        Config { lease_duration: 1, ..valid.clone() },
        Config { max_delivery_delay: 1_900_000, ..valid.clone() },
        Config { clock_drift: f64::NAN, ..valid.clone() },
    ];
    for config in cases {
        assert!(!config.validate().is_empty(), "{config:?}");
    }
}
