//! Merging of the shards' partial answers.

/// Size of a record in bytes; a shorter remainder of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first, compared byte by byte.
/// Duplicates are kept.
pub fn merge_parts<'part>(parts: impl Iterator<Item = &'part [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if top == 0 {
        return Vec::new();
    }
    if records.len() > top {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
