use super::*;

fn started(looks: Looks) -> (Hollow, Vec<Todo>) {
    let (mut hollow, mut todo) = (Hollow::new(3, 1, 7, looks).expect("usable"), Vec::new());
    hollow.start(0.0, None, &mut todo);
    (hollow, todo)
}

fn entries(count: u32) -> Vec<String> {
    (0..count).map(|endpoint| entry(endpoint, 5, "SERVING")).collect()
}

/// Guards against a hollow client proxy that calls otherwise than the program: first all of it, then a watch, after a
/// failure what it missed, and only when the decisions say so.
#[test]
fn it_calls_as_the_program_does() {
    let (mut hollow, mut todo) = started(Looks::LeftOut);
    assert_eq!(todo, [Todo::Call { after: 0.0 }]);
    assert_eq!(hollow.call().after, None);
    todo.clear();
    let whole = list(4, true, &entries(3));
    assert_eq!(hollow.answered(9.0, 1.0, whole.as_bytes(), &mut todo).expect("a list"), Some(4));
    assert_eq!(todo, [Todo::Call { after: 0.0 }]);
    assert_eq!((hollow.call().after, hollow.call().wait.is_zero()), (Some(4), false));
    assert_eq!(hollow.follower.reader().endpoints.endpoint_ids().len(), 3);
    todo.clear();
    hollow.failed(20.0, false, &mut todo);
    let [Todo::Timer { at, token }] = todo[..] else { panic!("{todo:?}") };
    assert!(at > 20.0);
    // Where calls queue, the one that finds out what was missed begins the watch too.
    assert_eq!(hollow.call().path(), "/v1/endpoints?after=4&wait_ms=100");
    todo.clear();
    hollow.woken(at, token, &mut todo);
    assert_eq!(todo, [Todo::Call { after: 0.0 }]);
}

/// Guards against a discovery that is asked without end: what ought to have waited, what is doubtful, what is no list.
#[test]
fn what_gives_nothing_is_followed_by_a_pause() {
    let (mut hollow, mut todo) = started(Looks::LeftOut);
    hollow.answered(1.0, 0.0, list(4, true, &entries(3)).as_bytes(), &mut todo).expect("a list");
    todo.clear();
    hollow.answered(2.0, 1.0, list(4, false, &[]).as_bytes(), &mut todo).expect("a list");
    hollow.answered(900.0, 2.0, list(4, false, &[]).as_bytes(), &mut todo).expect("a list");
    let doubted = list(3, false, &entries(1));
    assert_eq!(hollow.answered(901.0, 900.0, doubted.as_bytes(), &mut todo).expect("a list"), None);
    assert_eq!(todo, [BREATH, 0.0, BREATH].map(|after| Todo::Call { after }));
    todo.clear();
    assert!(hollow.answered(950.0, 901.0, b"{", &mut todo).is_err());
    assert!(matches!(todo[..], [Todo::Timer { .. }]), "{todo:?}");
    assert_eq!(hollow.call().after, None);
}

/// Guards against a look that is taken for another timer, or is lost.
#[test]
fn looks_go_on_or_are_left_out() {
    let (mut hollow, mut todo) = started(Looks::Kept);
    for look in 1..=5 {
        let timers: Vec<_> = todo.iter().filter(|todo| matches!(todo, Todo::Timer { .. })).copied().collect();
        let [Todo::Timer { at, token }] = timers[..] else { panic!("{todo:?}") };
        assert_eq!(at, f64::from(look) * 100.0);
        todo.clear();
        hollow.woken(at, token, &mut todo);
    }
}

/// Guards against entries that the program would leave out.
#[test]
fn what_is_written_is_read_whole() {
    let (mut hollow, mut todo) = started(Looks::LeftOut);
    hollow.answered(1.0, 0.0, list(1, true, &entries(500)).as_bytes(), &mut todo).expect("a list");
    assert_eq!(
        (hollow.follower.entry_errors().len(), hollow.follower.reader().endpoints.endpoint_ids().len()),
        (0, 500)
    );
    let gone = list(2, false, &[entry(17, 5, "DELETED"), entry(18, 5, "DRAINING")]);
    hollow.answered(1.0, 0.0, gone.as_bytes(), &mut todo).expect("a list");
    assert_eq!(
        (hollow.follower.entry_errors().len(), hollow.follower.reader().endpoints.endpoint_ids().len()),
        (0, 499)
    );
}
