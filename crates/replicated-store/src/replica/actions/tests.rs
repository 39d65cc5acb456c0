use super::*;

fn message() -> (MemberName, Vec<u8>, Priority) {
    (MemberName::from("b"), vec![1], Priority::Entry)
}

/// Guards against an acknowledged entry that is lost: a batch dropped from a full queue counted as durable
/// once a later one was.
#[test]
fn a_full_queue_drops_messages_and_no_batch() {
    let mut queue = ActionQueue::default();
    assert_eq!(queue.push_batch(1, WriteBatch::new()), Ok(()));
    for _ in 0..MAX_QUEUED {
        let (to, bytes, priority) = message();
        queue.push_message(to, bytes, priority);
    }
    assert_eq!(queue.push_batch(2, WriteBatch::new()), Ok(()));
    let actions = queue.take();
    assert_eq!(actions.len(), MAX_QUEUED);
    let batches = actions.iter().filter_map(|action| match action {
        Action::Persist { number, .. } => Some(*number),
        _ => None,
    });
    assert_eq!(batches.collect::<Vec<u64>>(), [1, 2]);
}

#[test]
fn a_queue_full_of_batches_accepts_no_further_one() {
    let mut queue = ActionQueue::default();
    for number in 0..MAX_QUEUED as u64 {
        assert_eq!(queue.push_batch(number, WriteBatch::new()), Ok(()));
    }
    assert_eq!(queue.push_batch(MAX_QUEUED as u64, WriteBatch::new()), Err(QueueFull));
    let (to, bytes, priority) = message();
    queue.push_message(to, bytes, priority);
    queue.push_last(Action::Restart { reason: "full".to_owned() });
    let actions = queue.take();
    assert_eq!(actions.len(), MAX_QUEUED);
    assert!(matches!(actions.last(), Some(Action::Restart { .. })));
}
