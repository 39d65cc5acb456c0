//! A durable key-value store: rows by key, written in atomic batches.
//!
//! - [`Store`]: a store with a single writer, on top of `redb`; every commit is durable before it returns.
//!   Each row has its own digest, which is checked on every read. Damage is reported by file and location,
//!   and never overwritten.
//! - [`disk`]: the interface to the system. Every file operation passes through it, so that a test can make
//!   it fail, cut it short, or cut the power at it; [`fault_disk`] is such a disk.
//! - [`writer`]: a thread with a bounded queue that owns a store, so that latency-sensitive threads never
//!   wait for a disk.
//!
//! A power cut at any operation leaves the state of the last commit that returned, or a later one, never a
//! mixture. A disk that reports a sync without having done it may lose commits. That shows as an older,
//! complete state, whose [`Store::generation`] is lower than what others remember, or as damage.
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
//! assert_eq!(store.get(1, b"a").expect("undamaged"), Some(b"one".to_vec()));
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
