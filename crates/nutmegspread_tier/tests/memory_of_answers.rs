//! Memory of a node while targets send without end.

use nutmegspread_tier::AnswerMemory;

/// Bytes that arrive on a connection at a time.
const READ_BYTES: usize = 8 * 1024;
/// Part of the memory of the smallest node, of 160 MB, that answers may take.
const MOST_BYTES: usize = 128 * 1024 * 1024;

/// Largest sum of the bytes held while `connections` targets send without end, in turn. An answer that
/// may not be read on is given up.
fn peak(connections: usize) -> usize {
    let memory = AnswerMemory::default();
    let mut held = vec![0; connections];
    let (mut total, mut peak) = (0, 0);
    for _ in 0..64 {
        for own in &mut held {
            *own += READ_BYTES;
            total += READ_BYTES;
            peak = peak.max(total);
            if !memory.allows(*own, total) {
                total -= *own;
                *own = 0;
            }
        }
    }
    peak
}

/// Guards against a node that runs out of memory because each of thousands of connections holds a
/// little.
#[test]
fn endless_answers_take_a_part_of_the_memory_however_many_connections() {
    for connections in [10, 400, 3900] {
        let peak = peak(connections);
        assert!(
            peak <= MOST_BYTES,
            "{peak} bytes on {connections} connections"
        );
    }
}

#[test]
fn the_largest_answer_is_read_while_little_is_held() {
    let memory = AnswerMemory::default();
    let largest = 16 * 1024 * 1024;
    assert!(memory.allows(largest, largest * 2));
    assert!(!memory.allows(largest, memory.total + 1));
    assert!(
        memory.allows(1000, usize::MAX),
        "short answers are always read"
    );
}
