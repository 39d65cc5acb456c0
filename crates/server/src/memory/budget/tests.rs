use super::*;

#[test]
fn charge_is_limited_by_the_budget_and_returned_on_drop() {
    let budget = Budget::new(100);
    let mut charge = budget.charge(60).expect("60 of 100 bytes are available");
    assert!(budget.charge(41).is_none());
    assert_eq!(budget.available(), 40);
    assert!(charge.resize(100) && !charge.resize(101));
    assert_eq!(budget.available(), 0);
    assert!(charge.resize(10));
    drop(charge);
    assert_eq!(budget.available(), 100);
}
