//! Reads the settings object that a server is given at its start, for the simulator's adapter and the real server
//! alike. The words of that object are translated into the terms of the code here and nowhere else.
//!
//! - [`settings`]: the admission controller's settings;
//! - [`shape`], [`class_names`], [`tenant_names`], [`GaugeNames`]: what only a host needs;
//! - [`fields`]: typed access to fields of JSON objects, with a [`SettingsError`] that names the field;
//! - [`locate`]: the line on which a field stands, for errors.
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
