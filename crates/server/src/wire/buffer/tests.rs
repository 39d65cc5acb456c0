use super::*;

#[test]
fn buffer_grows_as_needed_up_to_its_limit() {
    let mut buffer = Buffer::new(5_000);
    assert_eq!(buffer.allocated_bytes(), 0);
    assert!(buffer.append(&[1; 1_500]));
    assert_eq!(buffer.allocated_bytes(), MIN_CAPACITY);
    assert!(buffer.append(&[2; 3_500]));
    assert_eq!(buffer.allocated_bytes(), 5_000);
    assert!(buffer.is_full() && buffer.spare_capacity().is_empty());
    assert!(!buffer.append(&[3]));
    assert_eq!(buffer.unread().iter().map(|&b| usize::from(b)).sum::<usize>(), 1_500 + 7_000);
}

#[test]
fn unread_bytes_move_to_the_front_before_the_buffer_grows() {
    let mut buffer = Buffer::new(1 << 20);
    for round in 0..1_000u32 {
        assert!(buffer.append(&round.to_be_bytes()));
        if round > 0 {
            assert_eq!(buffer.unread()[..4], (round - 1).to_be_bytes());
            buffer.consume(4);
        }
    }
    assert_eq!((buffer.allocated_bytes(), buffer.unread().len()), (MIN_CAPACITY, 4));
}

#[test]
fn emptied_buffer_releases_its_memory() {
    let mut buffer = Buffer::new(1 << 20);
    assert!(buffer.append(&[0; 100_000]));
    buffer.consume(10);
    buffer.consume(usize::MAX);
    assert_eq!((buffer.unread().len(), buffer.allocated_bytes()), (0, MIN_CAPACITY));
}
