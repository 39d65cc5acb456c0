//! Reads the JSON settings object that a server receives at startup, for both the simulator's adapter and the
//! real server. The fields and values of that object are converted into the types of the code only here.
//!
//! - [`settings`]: the admission controller's settings;
//! - [`shape`], [`class_names`], [`tenant_names`], [`GaugeNames`]: settings that only the host of an
//!   admission controller needs;
//! - [`fields`]: typed access to fields of JSON objects, with a [`SettingsError`] that names the field;
//! - [`locate`]: finds the line of a field, for error messages.
//!
//! ```
//! use umberloom_settings::{fields::Object, settings, SettingsError};
//!
//! let error = settings(&Object::new(), 1).unwrap_err();
//! assert_eq!(error, SettingsError::unexpected("family_info", "an object"));
//! assert_eq!(error.to_string(), "field `family_info`: expected an object");
//! ```

mod error;
pub mod fields;
pub mod locate;
mod names;
mod read;
pub mod shape;

pub use error::SettingsError;
pub use names::{class_names, tenant_names, GaugeNames};
pub use read::settings;
