use super::*;

/// A server that wrongly recognised a key from another zone or cell, or an expired one, would not execute the
/// repeat, and the run would miss a request that took effect twice.
#[test]
fn key_known_within_scope_and_ttl() {
    let cases = [
        (Scope::All, (1, 9), 1.0, true),
        (Scope::Zone, (0, 9), 1.0, true),
        (Scope::Zone, (1, 9), 1.0, false),
        (Scope::Cell, (0, 1), 1.0, true),
        (Scope::Cell, (0, 2), 1.0, false),
        (Scope::All, (0, 1), 3.0, false),
    ];
    for (scope, place, at, known) in cases {
        let mut ledger = Ledger::new(0.0);
        let request = Request {
            class: 0,
            proxy: 0,
            scheduled_at: 0.0,
            work: 0.0,
            first_try: Txn(0),
            at_most_once: false,
            key_scope_and_ttl: Some((scope, 2.0)),
            priority_weight: 1.0,
            latency_objective: 1.0,
        };
        let first = ledger.add_request(request.clone(), None, 0.0);
        ledger.record_effect(first, 0.0, "s", (0, 1));
        let again = ledger.add_request(request, Some(first), 0.0);
        assert_eq!(ledger.knows_key(again, at, place), known, "{scope:?} {place:?} {at}");
        ledger.record_effect(again, at, "s", place);
        assert_eq!(ledger.figures(1.0).rules["doubled"], 1);
    }
}
