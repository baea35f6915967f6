use super::*;

const EMPTY: Told = Told { index: 41, whole: false, read: 0, unreadable: 0 };
const WHOLE: Told = Told { index: 41, whole: true, read: 3, unreadable: 0 };
const CHANGE: Told = Told { index: 42, whole: false, read: 1, unreadable: 0 };

fn watching() -> Session {
    let mut session = Session::new(None);
    assert_eq!(session.call(), Call { after: None, wait: Duration::ZERO, within: RESYNC_WITHIN });
    assert_eq!(session.answered(WHOLE), Verdict::Taken);
    session
}

/// Guards against a list that is quietly old: a watch that falls silent the moment it has begun, the longest pause that
/// follows and a call as slow as may be are together no longer than a change may stay unheard.
#[test]
fn a_watch_that_falls_silent_is_made_up_for_in_time() {
    let mut session = watching();
    let silent = session.call().within;
    assert_eq!((session.call().after, session.call().wait), (Some(41), WATCH_FOR));
    let mut pauses = Vec::from_iter((0..8).map(|_| session.failed(false)));
    assert!(pauses.is_sorted() && pauses.pop() == Some(PAUSE_MOST), "{pauses:?}");
    let resync = session.call();
    assert_eq!((resync.after, resync.wait), (Some(41), Duration::ZERO), "what was missed, at once");
    assert!(silent + PAUSE_MOST + resync.within <= FRESH_WITHIN);
    // Discovery that comes back while a call to it hangs: that one, the pause and the next.
    assert!(resync.within + PAUSE_MOST + resync.within <= FRESH_WITHIN);
    assert_eq!(session.answered(EMPTY), Verdict::Taken);
    assert_eq!(session.call().wait, WATCH_FOR);
}

/// Guards against an old answer that takes back a drain: it is not taken, and the whole list is asked for.
#[test]
fn an_older_list_is_not_taken_unless_discovery_was_set_back() {
    let mut session = watching();
    let older = Told { index: 40, ..WHOLE };
    assert_eq!(session.answered(older), Verdict::Doubtful);
    assert_eq!(session.call(), Call { after: None, wait: Duration::ZERO, within: RESYNC_WITHIN });
    assert_eq!(session.answered(Told { index: 43, ..WHOLE }), Verdict::Taken);
    // One old answer was not the last word before either.
    assert_eq!(session.answered(older), Verdict::Doubtful);
    assert_eq!(session.answered(older), Verdict::Taken, "it says so when asked anew");
    assert_eq!(session.call().after, Some(40));
}

/// Guards against changes that do not belong to the list held, and against one that is heard but cannot be read.
#[test]
fn changes_that_do_not_follow_are_not_taken() {
    for odd in [
        Told { index: 40, ..CHANGE },
        Told { index: 40, ..EMPTY },
        Told { index: 41, ..CHANGE },
        Told { unreadable: 1, ..CHANGE },
        Told { index: 42, unreadable: 1, ..EMPTY },
    ] {
        let mut session = watching();
        assert_eq!(session.answered(odd), Verdict::Doubtful, "{odd:?}");
        assert_eq!(session.call().after, None, "{odd:?}");
    }
    let mut session = watching();
    assert_eq!(session.answered(CHANGE), Verdict::Taken);
    assert_eq!(session.answered(Told { index: 42, ..EMPTY }), Verdict::Taken);
    assert_eq!(session.call().after, Some(42));
}

/// Guards against trust in what was held when an answer was no list: all of it is asked for.
#[test]
fn after_a_spoilt_answer_the_whole_list_is_asked_for() {
    let mut session = watching();
    session.failed(true);
    assert_eq!(session.call().after, None);
    let mut session = watching();
    session.moved();
    assert_eq!((session.call().after, session.call().wait), (Some(41), Duration::ZERO));
}
