//! Markdown tables of measurements, in the form that the pages in `docs/measurements` use.

use comfy_table::{presets, Table};

/// An empty Markdown table with this header.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header.to_vec());
    table
}

/// Returns the percentile for this share of the samples (0 to 1, nearest rank), or `-` without samples. Sorts
/// the samples.
pub fn percentile(samples: &mut [u64], share: f64) -> String {
    samples.sort_unstable();
    let rank = (samples.len() as f64 * share).ceil() as usize;
    let index = rank.clamp(1, samples.len().max(1)) - 1;
    samples.get(index).map_or("-".to_owned(), u64::to_string)
}
