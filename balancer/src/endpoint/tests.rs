use super::*;
use crate::interface::EndpointId;

#[test]
fn work_is_scaled_by_relative_selection_weight() {
    let (started_at, state) = (None, EndpointState::Up);
    let entry =
        EndpointEntry { endpoint: EndpointId(1), zone: 0, kind: 0, cell: 0, weight: 1.0, started_at, state };
    let counted_work = |selection_weight, max_weight| {
        let mut endpoint = Endpoint::new(0, 0.0, 1, entry.clone());
        endpoint.selection_weight = selection_weight;
        endpoint.count_work(10.0, max_weight, 0.2);
        endpoint.recent_work
    };
    assert_eq!([1.0, 0.5, 0.25, 0.01].map(|weight| counted_work(weight, 1.0)), [10.0, 20.0, 40.0, 50.0]);
    // Work is not scaled at an endpoint whose selection weight is at least that of all its peers.
    assert_eq!([1.0, 0.5, 0.25, 0.01].map(|weight| counted_work(weight, 0.25)), [10.0, 10.0, 10.0, 50.0]);
}
