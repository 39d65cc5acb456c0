//! Calls into libraries that end a process over what can't be: here it is an error of that call.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::sync::Once;

thread_local! {
    static PANIC_IS_CAUGHT: Cell<bool> = const { Cell::new(false) };
}

/// Does it; where it panics, what it said is the error, and nothing is printed: the caller tells it in its own way. What
/// was being changed is not to be used afterwards.
pub fn catch_panic<T>(act: impl FnOnce() -> T) -> Result<T, String> {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let before = take_hook();
        set_hook(Box::new(move |info| {
            if !PANIC_IS_CAUGHT.get() {
                before(info);
            }
        }));
    });
    let outer = PANIC_IS_CAUGHT.replace(true);
    let came = catch_unwind(AssertUnwindSafe(act));
    PANIC_IS_CAUGHT.set(outer);
    came.map_err(|panic| {
        let said = panic.downcast_ref::<String>().cloned();
        let said = said.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        said.unwrap_or_else(|| "no reason given".to_owned())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_panic_said_is_the_error() {
        assert_eq!(catch_panic(|| 7), Ok(7));
        let why = catch_panic(|| -> u8 { panic!("entry {} is gone", 3) });
        assert_eq!(why, Err("entry 3 is gone".to_owned()));
        assert!(!PANIC_IS_CAUGHT.get());
    }
}
