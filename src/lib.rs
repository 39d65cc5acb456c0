//! umberloom decides, inside each server of a fleet, what that server admits, runs and rejects.
//!
//! - [`admission`]: the [`AdmissionController`], which makes the decisions;
//! - [`interface`]: its settings, the events that it takes and the actions that it returns.
//!
//! The library reads no clock, starts no thread and does no I/O: the host passes in the time and the events,
//! and executes the actions that the controller returns.
//!
//! ```
//! use umberloom::interface::{Action, Event, InvalidSettings, Settings};
//! use umberloom::AdmissionController;
//!
//! fn execute(action: &Action) {
//!     println!("{action:?}");
//! }
//!
//! fn serve(settings: Settings, first: Event, second: Event) -> Result<(), InvalidSettings> {
//!     let mut controller = AdmissionController::new(0, settings)?;
//!     let mut actions = Vec::new();
//!     for (now, event) in [(1_000, first), (2_000, second)] {
//!         controller.step(now, [event], &mut actions);
//!         actions.drain(..).for_each(|action| execute(&action));
//!     }
//!     Ok(())
//! }
//! ```

pub mod admission;
pub mod interface;

pub use admission::AdmissionController;
