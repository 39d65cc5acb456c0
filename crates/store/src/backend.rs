//! Storage backends for `redb`: one that writes to the store's file, and one that keeps all writes in memory.

use std::collections::btree_map::{BTreeMap, Entry};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

use crate::disk::DiskFile;

/// A backend that reads and writes the store's file.
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

/// Size in bytes of the pages of an overlay.
const PAGE_BYTES: u64 = 4_096;

/// A backend that reads a file and keeps all writes in memory. With it a file is checked without being
/// changed, so that a damaged file stays as it is for later analysis.
#[derive(Debug)]
pub struct OverlayBackend {
    file: Arc<dyn DiskFile>,
    overlay: Mutex<Overlay>,
}

/// The changes to a file that are kept in memory.
#[derive(Debug)]
struct Overlay {
    /// The length of the file in bytes, with the changes.
    len: u64,
    /// The pages that were written to, by page number.
    pages: BTreeMap<u64, Vec<u8>>,
}

/// The bytes of a read or write that lie in one page.
struct PageRange {
    /// The page number.
    page: u64,
    /// The offset in bytes within the page.
    start: usize,
    /// The length in bytes.
    len: usize,
}

impl PageRange {
    /// The part of the `remaining` bytes from `offset` on that lies in their first page.
    fn first(offset: u64, remaining: usize) -> PageRange {
        let start = (offset % PAGE_BYTES) as usize;
        PageRange { page: offset / PAGE_BYTES, start, len: remaining.min(PAGE_BYTES as usize - start) }
    }

    fn end(&self) -> usize {
        self.start + self.len
    }
}

impl OverlayBackend {
    pub fn new(file: Arc<dyn DiskFile>) -> io::Result<OverlayBackend> {
        let len = file.len()?;
        Ok(OverlayBackend { file, overlay: Mutex::new(Overlay { len, pages: BTreeMap::new() }) })
    }

    fn overlay(&self) -> MutexGuard<'_, Overlay> {
        self.overlay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a page of the file itself, with zeros after the file's end.
    fn read_page(&self, page: u64) -> io::Result<Vec<u8>> {
        let offset = page * PAGE_BYTES;
        let mut bytes = vec![0; PAGE_BYTES as usize];
        let present = self.file.len()?.saturating_sub(offset).min(PAGE_BYTES) as usize;
        if present > 0 {
            self.file.read(offset, &mut bytes[..present])?;
        }
        Ok(bytes)
    }
}

impl StorageBackend for OverlayBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.overlay().len)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let overlay = self.overlay();
        if offset + out.len() as u64 > overlay.len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        while done < out.len() {
            let range = PageRange::first(offset + done as u64, out.len() - done);
            let from_file;
            let bytes = match overlay.pages.get(&range.page) {
                Some(bytes) => bytes,
                None => {
                    from_file = self.read_page(range.page)?;
                    &from_file
                }
            };
            out[done..done + range.len].copy_from_slice(&bytes[range.start..range.end()]);
            done += range.len;
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.overlay().len = len;
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut overlay = self.overlay();
        overlay.len = overlay.len.max(offset + data.len() as u64);
        let mut done = 0;
        while done < data.len() {
            let range = PageRange::first(offset + done as u64, data.len() - done);
            let bytes = match overlay.pages.entry(range.page) {
                Entry::Occupied(page) => page.into_mut(),
                Entry::Vacant(page) => page.insert(self.read_page(range.page)?),
            };
            bytes[range.start..range.end()].copy_from_slice(&data[done..done + range.len]);
            done += range.len;
        }
        Ok(())
    }
}
