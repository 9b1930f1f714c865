//! Buffered answers and their total size.

use super::{BufferedAnswer, MAX_BUFFERED_BYTES, SMALL_ANSWER_BYTES};

/// Guards against the memory of an entry that many large answers take at once. Small ones still have room, and
/// what was dropped no longer counts.
#[test]
fn all_buffered_answers_share_one_bound() {
    const ANSWER_BYTES: usize = 1024 * 1024;
    let data = vec![0; ANSWER_BYTES];
    let mut answers = Vec::new();

    for _ in 0..2 * MAX_BUFFERED_BYTES / ANSWER_BYTES {
        let mut answer = BufferedAnswer::default();
        if answer.push(&data) {
            answers.push(answer);
        }
    }
    let mut small = BufferedAnswer::default();

    assert_eq!(answers.len(), MAX_BUFFERED_BYTES / ANSWER_BYTES);
    assert!(small.push(&data[..SMALL_ANSWER_BYTES]));
    drop((answers, small));
    assert!(BufferedAnswer::default().push(&data));
}
