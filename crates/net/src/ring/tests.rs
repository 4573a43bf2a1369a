use super::*;

#[test]
fn ring_allocates_on_first_use_is_bounded_and_frees_its_memory_when_empty() {
    let mut ring = Ring::new(100_000);
    assert_eq!(ring.bytes.capacity(), 0);
    assert!(ring.push(&[7; 90_000]));
    assert!(!ring.push(&[7; 10_001]));
    assert_eq!(ring.len(), 90_000);
    ring.remove_range(1, 89_998);
    assert_eq!(ring.contiguous(), [7, 7]);
    assert!(ring.push(&[8; 89_998]));
    ring.consume(90_000);
    assert_eq!(ring.bytes.capacity(), 0);
}
