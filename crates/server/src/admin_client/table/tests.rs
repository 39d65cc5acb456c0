use super::*;

#[test]
fn columns_are_aligned_and_ages_rounded() {
    let mut table = Table::with_headings(["a", "b"]);
    table.extend([vec!["long".to_owned(), "c".to_owned()]]);
    assert_eq!(table.render(), "a     b\nlong  c\n");
    assert_eq!(
        (age(None), age(Some(9_999)), age(Some(61_000))),
        ("-".into(), "9999 ms".into(), "61 s".into())
    );
}
