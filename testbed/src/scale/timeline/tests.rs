use super::*;

/// Guards against a clock that runs backwards, and against an order that chance decides.
#[test]
fn what_is_due_comes_in_its_order() {
    let mut timeline = Timeline::default();
    [(5.0, 'd'), (1.0, 'a'), (2.0, 'b'), (2.0, 'c'), (9.0, 'e')]
        .into_iter()
        .for_each(|(at, what)| timeline.at(at, what));
    timeline.retain(|what| *what != 'd');
    let mut come = Vec::new();
    while let Some(what) = timeline.next(3.0) {
        come.push((timeline.now(), what));
    }
    assert_eq!(come, [(1.0, 'a'), (2.0, 'b'), (2.0, 'c')]);
    assert_eq!(timeline.now(), 3.0);
    timeline.at(0.5, 'f');
    assert_eq!((timeline.next(4.0), timeline.now()), (Some('f'), 3.0));
    timeline.after(1.0, 'g');
    assert_eq!((timeline.next(10.0), timeline.now()), (Some('g'), 4.0));
}
