//! `redb` on the seam: its file, and a look at it that writes nothing.

use std::collections::btree_map::{BTreeMap, Entry};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use redb::StorageBackend;

use crate::disk::DiskFile;

/// The store's file.
#[derive(Debug)]
pub struct FileBackend(pub Arc<dyn DiskFile>);

impl StorageBackend for FileBackend {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// The size of the parts that an overlay keeps.
const PAGE_BYTES: u64 = 4_096;

/// The same file with all writes kept in memory: whether it is sound can be found out without changing it, so that one
/// that is not stays for whoever wants to read it.
#[derive(Debug)]
pub struct OverlayBackend {
    file: Arc<dyn DiskFile>,
    over: Mutex<(u64, BTreeMap<u64, Vec<u8>>)>,
}

impl OverlayBackend {
    pub fn new(under: Arc<dyn DiskFile>) -> io::Result<OverlayBackend> {
        let len = under.len()?;
        Ok(OverlayBackend { file: under, over: Mutex::new((len, BTreeMap::new())) })
    }

    /// A part of the file as it is below, zeros where it ends.
    fn read_page(&self, part: u64) -> io::Result<Vec<u8>> {
        let (from, len) = (part * PAGE_BYTES, self.file.len()?);
        let mut bytes = vec![0; PAGE_BYTES as usize];
        let there = len.saturating_sub(from).min(PAGE_BYTES) as usize;
        if there > 0 {
            self.file.read(from, &mut bytes[..there])?;
        }
        Ok(bytes)
    }
}

impl StorageBackend for OverlayBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.over.lock().unwrap_or_else(PoisonError::into_inner).0)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let over = self.over.lock().unwrap_or_else(PoisonError::into_inner);
        if offset + out.len() as u64 > over.0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        while done < out.len() {
            let at = offset + done as u64;
            let (part, from) = (at / PAGE_BYTES, (at % PAGE_BYTES) as usize);
            let take = (PAGE_BYTES as usize - from).min(out.len() - done);
            let below;
            let bytes = match over.1.get(&part) {
                Some(bytes) => bytes,
                None => {
                    below = self.read_page(part)?;
                    &below
                }
            };
            out[done..done + take].copy_from_slice(&bytes[from..from + take]);
            done += take;
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.over.lock().unwrap_or_else(PoisonError::into_inner).0 = len;
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut over = self.over.lock().unwrap_or_else(PoisonError::into_inner);
        over.0 = over.0.max(offset + data.len() as u64);
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let (part, from) = (at / PAGE_BYTES, (at % PAGE_BYTES) as usize);
            let take = (PAGE_BYTES as usize - from).min(data.len() - done);
            let bytes = match over.1.entry(part) {
                Entry::Occupied(place) => place.into_mut(),
                Entry::Vacant(place) => place.insert(self.read_page(part)?),
            };
            bytes[from..from + take].copy_from_slice(&data[done..done + take]);
            done += take;
        }
        Ok(())
    }
}
