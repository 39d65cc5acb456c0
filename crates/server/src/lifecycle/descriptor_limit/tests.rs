use super::*;

#[test]
fn the_soft_limit_counts_where_there_is_one() {
    let text = "Limit   Soft Limit  Hard Limit  Units\nMax open files            64                   4096                 files\n";
    assert_eq!(soft_limit(text), Some(64));
    assert_eq!(soft_limit(&text.replace("64  ", "unlimited")), None);
    assert_eq!(soft_limit(""), None);
}
