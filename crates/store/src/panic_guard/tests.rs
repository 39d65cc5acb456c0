use super::*;

#[test]
fn a_panic_is_returned_as_an_error_with_its_message() {
    assert_eq!(catch_panic(|| 7), Ok(7));
    let caught = catch_panic(|| -> u8 { panic!("entry {} is gone", 3) });
    assert_eq!(caught, Err("entry 3 is gone".to_owned()));
    assert!(!PANIC_IS_CAUGHT.get());
}
