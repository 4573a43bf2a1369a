use super::*;

fn used(at: Micros, function: usize) -> ReplicaUse {
    ReplicaUse { at, worker: 0, function }
}

fn due(queue: &mut RenewalQueue, now: Micros, current: impl Fn(&ReplicaUse) -> bool) -> Vec<usize> {
    queue.due(now, 100.0, (0.75, 0.95), current).map(|u| u.function).collect()
}

#[test]
fn uses_are_due_between_two_ages_and_dropped_afterwards() {
    let mut queue = RenewalQueue::default();
    queue.push(used(0, 1));
    queue.push(used(10, 2));
    queue.push(used(10, 2));
    assert_eq!(queue.len(), 2, "a repeated use is queued once");
    assert_eq!(due(&mut queue, 74, |_| true), Vec::<usize>::new());
    assert_eq!(due(&mut queue, 75, |_| true), vec![1]);
    assert_eq!(due(&mut queue, 90, |_| true), vec![1, 2]);
    assert_eq!(due(&mut queue, 95, |_| true), vec![2]);
    assert_eq!(due(&mut queue, 200, |_| true), Vec::<usize>::new());
    assert_eq!(queue.len(), 0);
}

#[test]
fn use_followed_by_a_later_one_is_dropped() {
    let mut queue = RenewalQueue::default();
    queue.push(used(0, 1));
    queue.push(used(5, 1));
    assert_eq!(due(&mut queue, 80, |u| u.at == 5), vec![1]);
    assert_eq!(queue.len(), 1);
}
