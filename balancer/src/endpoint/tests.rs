use super::*;
use crate::interface::EndpointId;

#[test]
fn work_sent_to_a_slow_endpoint_counts_as_if_it_were_sound() {
    let (started, phase) = (None, EndpointState::Up);
    let entry = EndpointEntry {
        endpoint: EndpointId(1),
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        started_at: started,
        state: phase,
    };
    let counted = |selection_weight, soundest| {
        let mut endpoint = Endpoint::new(0, 0.0, 1, entry.clone());
        endpoint.selection_weight = selection_weight;
        endpoint.count_work(10.0, soundest, 0.2);
        endpoint.recent_work
    };
    assert_eq!([1.0, 0.5, 0.25, 0.01].map(|weight| counted(weight, 1.0)), [10.0, 20.0, 40.0, 50.0]);
    // Where its peers are no sounder, it gets no less than they.
    assert_eq!([1.0, 0.5, 0.25, 0.01].map(|weight| counted(weight, 0.25)), [10.0, 10.0, 10.0, 50.0]);
}
