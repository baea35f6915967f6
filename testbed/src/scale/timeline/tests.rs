use super::*;

/// Events at the same time come in the order in which they were scheduled; otherwise a run would not be
/// reproducible from its seed. An event scheduled in the past must not turn the clock back.
#[test]
fn events_come_in_time_order() {
    let mut timeline = Timeline::default();
    [(5.0, 'd'), (1.0, 'a'), (2.0, 'b'), (2.0, 'c'), (9.0, 'e')]
        .into_iter()
        .for_each(|(at, event)| timeline.schedule_at(at, event));
    timeline.retain(|event| *event != 'd');
    let mut events = Vec::new();
    while let Some(event) = timeline.next(3.0) {
        events.push((timeline.now(), event));
    }
    assert_eq!(events, [(1.0, 'a'), (2.0, 'b'), (2.0, 'c')]);
    assert_eq!(timeline.now(), 3.0);
    timeline.schedule_at(0.5, 'f');
    assert_eq!((timeline.next(4.0), timeline.now()), (Some('f'), 3.0));
    timeline.schedule_after(1.0, 'g');
    assert_eq!((timeline.next(10.0), timeline.now()), (Some('g'), 4.0));
}
