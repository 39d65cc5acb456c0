use super::*;

#[test]
fn soft_limit_is_parsed_if_present() {
    let text = "Limit   Soft Limit  Hard Limit  Units\nMax open files            64                   4096                 files\n";
    assert_eq!(parse_soft_limit(text), Some(64));
    assert_eq!(parse_soft_limit(&text.replace("64  ", "unlimited")), None);
    assert_eq!(parse_soft_limit(""), None);
}

#[test]
fn descriptors_suffice_for_all_kinds_under_any_limit() {
    for limit in 32..4096 {
        let budget = DescriptorBudget::divide(limit, 0);
        assert!(budget.calls > 0 && budget.connections >= limit / 2, "{limit}");
        assert!(budget.connections + budget.calls < limit, "{limit}");
    }
}
