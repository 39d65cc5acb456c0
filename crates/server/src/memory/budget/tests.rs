use super::*;

#[test]
fn charge_is_limited_by_the_budget_and_returned_on_drop() {
    let budget = Budget::new(100, 0);
    let mut charge = budget.charge(60).expect("60 of 100 bytes are available");
    assert!(budget.charge(41).is_none());
    assert_eq!(budget.available(), 40);
    assert!(charge.resize(100) && !charge.resize(101));
    assert_eq!(budget.available(), 0);
    assert!(charge.resize(10));
    drop(charge);
    assert_eq!(budget.available(), 100);
}

#[test]
fn connection_returns_its_memory_on_drop() {
    let budget = Budget::new(1000, 5);
    let available = budget.available();
    let mut connection = budget.open_connection();
    let limit = connection.receive_limit();
    connection.update(limit, 100);
    assert!(budget.available() < available - 100);
    assert_eq!(connection.receive_limit(), limit);
    assert!(budget.open_connection().receive_limit() < limit);
    drop(connection);
    assert_eq!((budget.available(), budget.open_connection().receive_limit()), (available, limit));
}
