//! Merges the records that several shards returned into one answer.

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all `parts` in descending order.
///
/// Each part holds the records of one shard, one after the other. Records are compared byte by
/// byte. Equal records are all kept. Bytes after the last whole record of a part are ignored.
pub fn greatest_records<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        let (whole, _) = part.as_chunks::<RECORD_BYTES>();
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |left, right| right.cmp(left));
    }
    records.truncate(top);
    records.sort_unstable_by(|left, right| right.cmp(left));
    records
        .iter()
        .flat_map(|record| record.to_be_bytes())
        .collect()
}
