use balancer::EndpointState;

use super::*;

/// The maps of names and IDs must not keep entries for names that are no longer listed. An endpoint that is
/// listed again gets its previous ID.
#[test]
fn released_name_gets_same_id_again() {
    let ids = EndpointIds::default();
    let (first, other) = (ids.get_or_assign("s-1"), ids.get_or_assign("s-2"));
    ids.release(first);
    assert_eq!((ids.get("s-1"), ids.get("s-2")), (None, Some(other)));
    assert_eq!(ids.names.borrow().len(), 1);
    assert_eq!(ids.get_or_assign("s-1"), first);
}

/// Start times must not be kept for endpoints that are no longer listed: they are dropped with the ID.
#[test]
fn released_id_loses_its_start_time() {
    let (ids, now) = (EndpointIds::default(), 50_000.0);
    let translated_start = |local| {
        let (started, phase) = (Some(1.7e12), EndpointState::Up);
        let mut entry = [EndpointEntry {
            endpoint: ids.get_or_assign("s-1"),
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 1.0,
            started_at: started,
            state: phase,
        }];
        ids.translate_response(&mut entry, ReceivedAt { local, discovery_unix_ms: None });
        entry[0].started_at
    };
    assert_eq!((translated_start(now), translated_start(now + 5.0)), (Some(now), Some(now)));
    ids.release(ids.get_or_assign("s-1"));
    assert_eq!(translated_start(now + 9.0), Some(now + 9.0));
}
