use super::*;

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
