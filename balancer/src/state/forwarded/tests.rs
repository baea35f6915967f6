use super::*;

#[test]
fn identities_are_forgotten_by_age_and_number() {
    let mut forwarded = ForwardedRequests::default();
    let (one, other) = (RequestId(1), RequestId(2));
    assert!(forwarded.add(7, Some(one), 0.0));
    assert!(!forwarded.add(7, Some(other), 1.0), "the first one owns it");
    assert!(forwarded.is_forwarded_by_other(7, other) && !forwarded.is_forwarded_by_other(7, one));
    forwarded.remove(7, other);
    assert!(forwarded.is_forwarded_by_other(7, other), "not its own");
    assert!(forwarded.add(8, None, REMEMBERED_TIME));
    assert!(!forwarded.is_forwarded_by_other(7, other), "forgotten");
    for identity in 0..2 * MAX_IDENTITIES as u64 {
        forwarded.add(1_000 + identity, Some(one), REMEMBERED_TIME);
    }
    assert_eq!((forwarded.owners.len(), forwarded.added.len()), (MAX_IDENTITIES, MAX_IDENTITIES));
}

#[test]
fn request_that_was_not_executed_is_forgotten() {
    let mut forwarded = ForwardedRequests::default();
    assert!(forwarded.add(7, Some(RequestId(1)), 0.0));
    assert_eq!(forwarded.own().collect::<Vec<_>>(), [7]);
    forwarded.remove(7, RequestId(1));
    assert!(forwarded.owners.is_empty() && forwarded.added.is_empty());
}
