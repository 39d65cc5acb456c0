//! A durable key-value store: rows by key, written in batches that are there completely or not at all.
//!
//! - [`Store`]: one writer, on `redb`; every commit is durable before it returns. Each row has a digest of its own, which is
//!   checked as it is read; damage is reported by file and location, and never overwritten.
//! - [`disk`]: the interface to the system. Every file operation passes through it, so that a test can fail it, cut it
//!   short, or cut the power at it; [`fault_disk`] is such a disk.
//! - [`writer`]: a thread of its own with a bounded queue, so that nobody who decides waits for a disk.
//!
//! A power cut at any operation leaves the state of the last commit that returned, or a later one, never a mixture. A disk
//! that says it has synced and has not may lose commits. That shows as an older, complete state ([`Store::generation`] is
//! then lower than others remember), or as damage.
//!
//! ```
//! use umberloom_store::{fault_disk::FaultInjectingDisk, Config, Store, WriteBatch};
//!
//! let disk = FaultInjectingDisk::new(1);
//! let config = Config::new("store");
//! let mut store = Store::open(&disk, &config).expect("a new store");
//! store.commit(&WriteBatch::new().put(1, b"a", b"one").put(1, b"b", b"two")).expect("durable");
//! drop(store);
//! disk.cut_power();
//! let store = Store::open(&disk, &config).expect("the same store");
//! assert_eq!(store.get(1, b"a").expect("sound"), Some(b"one".to_vec()));
//! assert_eq!(store.generation(), 1);
//! ```

mod backend;
mod batch;
mod database;
pub mod disk;
mod error;
pub mod fault_disk;
mod panic_guard;
mod store;
pub mod writer;

pub use batch::WriteBatch;
pub use error::StoreError;
pub use panic_guard::catch_panic;
pub use store::{Config, Migration, Row, Store};
