use super::*;

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

/// All phases on real sockets: each watcher starts, gets changes in both encoding modes, is disconnected and
/// reconnects.
#[test]
fn watchers_get_changes_and_reconnect() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let timing = PhaseTiming { settle: Duration::ZERO, idle: Duration::from_millis(300), changes: 2 };
    for lists in [Lists::Scoped, Lists::Whole] {
        let mut rng = chance::stream(1, "test");
        let point =
            LocalSet::new().block_on(&runtime, measure_point(5, lists, timing, &mut rng)).expect("a point");
        let figure = |name: &str| point.figures[name];
        assert!(figure("calls_s") > 0.0 && figure("change_bytes_watcher") > 0.0, "{point:?}");
        assert!(figure("in_force_ms_max") >= figure("in_force_ms_p50"), "{point:?}");
        assert!(figure("reconnect_s_max") > 0.0 && figure("for_each_in_force_ms_max") > 0.0, "{point:?}");
        // The first response is the full list of the scope, or only the changes since the cached list.
        assert_eq!(
            figure("start_bytes_watcher") > f64::from(SCOPE_ENDPOINTS) * 100.0,
            lists == Lists::Scoped
        );
    }
}
