//! What outlives a process: rows by key, written in batches that are there whole or not at all.
//!
//! - [`Store`]: one writer, on `redb`; every commit is durable before it returns. What is read has a digest of its own
//!   and is checked; what is damaged is told by file and place, and never overwritten.
//! - [`disk`]: the seam to the system. Every file operation passes through it, so that a test can fail it, cut it short,
//!   or cut the power at it; [`fault_disk`] is such a disk.
//! - [`writer`]: a thread of its own with a bounded queue, so that nobody who decides ever waits for a disk.
//!
//! A power cut at any operation leaves the state of the last commit that returned, or a later one, never a mixture. What
//! cannot be promised: a disk that says it has synced and has not may lose commits. That shows as an older state, whole
//! ([`Store::generation`] is then lower than others remember), or as damage.
//!
//! ```
//! use umberloom_store::{fault_disk::FaultInjectingDisk, Config, Store, WriteBatch};
//!
//! let disk = FaultInjectingDisk::new(1);
//! let config = Config::new("copy");
//! let mut store = Store::open(&disk, &config).expect("a new store");
//! store.commit(WriteBatch::new().put(1, b"a", b"one").put(1, b"b", b"two")).expect("durable");
//! drop(store);
//! disk.cut_power();
//! let store = Store::open(&disk, &config).expect("the same store");
//! assert_eq!(store.get(1, b"a").expect("sound"), Some(b"one".to_vec()));
//! assert_eq!(store.generation(), 1);
//! ```

mod backend;
pub mod disk;
mod error;
pub mod fault_disk;
mod panic_guard;
mod store;
pub mod writer;

pub use error::StoreError;
pub use panic_guard::catch_panic;
pub use store::{Config, Migration, Row, Store, WriteBatch};
