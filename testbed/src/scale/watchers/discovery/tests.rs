use super::*;
use crate::scale::law::ENDPOINTS;

/// The two encoding modes are compared by cost, so their bodies have to be equal.
#[test]
fn both_encodings_give_equal_bodies() {
    let discovery = Discovery::new(2 * SCOPE_ENDPOINTS);
    discovery.change();
    discovery.change();
    for (after, scope) in
        [(None, None), (None, Some(1)), (Some(1), Some(0)), (Some(2), None), (Some(3), Some(1))]
    {
        discovery.encoding.set(Encoding::Shared);
        let shared = discovery.body(after, scope);
        assert_eq!(shared, discovery.body(after, scope));
        discovery.encoding.set(Encoding::ForEach);
        assert_eq!(shared, discovery.body(after, scope), "{after:?} {scope:?}");
    }
}

/// A scope of another size would change the cost per watcher. A watcher whose scope lacks the changing
/// endpoint would never get the change, and the run would time out.
#[test]
fn scope_has_fixed_size_and_changed_endpoint() {
    for scope in 1..50 {
        let endpoints =
            (0..ENDPOINTS).filter(|&endpoint| scope_contains(scope, endpoint, ENDPOINTS)).count() as u32;
        assert_eq!(endpoints, SCOPE_ENDPOINTS, "{scope}");
        assert!(scope_contains(scope, CHANGED_ENDPOINT, ENDPOINTS));
    }
}

/// Bodies are cached by the version that they start from. A cache that outlives a change would serve an
/// outdated list.
#[test]
fn change_invalidates_cached_bodies() {
    let discovery = Discovery::new(SCOPE_ENDPOINTS);
    let before = discovery.body(None, None);
    discovery.change();
    assert_ne!(before, discovery.body(None, None));
}
