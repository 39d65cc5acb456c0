//! Calls into libraries that panic on damaged data: a panic becomes an error of that call.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::sync::Once;

#[cfg(test)]
mod tests;

thread_local! {
    /// Whether this thread is within [`catch_panic`]; its panics are then not printed.
    static PANIC_IS_CAUGHT: Cell<bool> = const { Cell::new(false) };
}

/// Calls `operation`. If it panics, the panic's message is returned as the error, and nothing is printed, as
/// the caller reports the error. Data that `operation` was changing must not be used afterwards.
pub fn catch_panic<T>(operation: impl FnOnce() -> T) -> Result<T, String> {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous_hook = take_hook();
        set_hook(Box::new(move |info| {
            if !PANIC_IS_CAUGHT.get() {
                previous_hook(info);
            }
        }));
    });
    let was_caught = PANIC_IS_CAUGHT.replace(true);
    let result = catch_unwind(AssertUnwindSafe(operation));
    PANIC_IS_CAUGHT.set(was_caught);
    result.map_err(|panic| {
        if let Some(message) = panic.downcast_ref::<String>() {
            message.clone()
        } else if let Some(message) = panic.downcast_ref::<&str>() {
            (*message).to_owned()
        } else {
            "panic without a message".to_owned()
        }
    })
}
