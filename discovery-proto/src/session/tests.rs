use super::*;

const EMPTY: ResponseSummary =
    ResponseSummary { index: 41, full_snapshot: false, readable: 0, unreadable: 0 };
const FULL_SNAPSHOT: ResponseSummary =
    ResponseSummary { index: 41, full_snapshot: true, readable: 3, unreadable: 0 };
const CHANGE: ResponseSummary =
    ResponseSummary { index: 42, full_snapshot: false, readable: 1, unreadable: 0 };

fn watching() -> Session {
    let mut session = Session::new(PollTiming::DIRECT, None);
    assert_eq!(
        session.next_poll(),
        PollRequest { after: None, wait: Duration::ZERO, timeout: PollTiming::DIRECT.resync_timeout }
    );
    assert_eq!(session.on_response(FULL_SNAPSHOT), Verdict::Applied);
    session
}

/// While a watch is stalled, changes are missed without any error. A watch that stalls right after its start,
/// the longest backoff after it and a resync that takes all of its timeout must together stay within the
/// bound on staleness.
#[test]
fn stalled_watch_recovers_within_max_staleness() {
    let mut session = watching();
    let watch_timeout = session.next_poll().timeout;
    assert_eq!(
        (session.next_poll().after, session.next_poll().wait),
        (Some(41), PollTiming::DIRECT.watch_wait)
    );
    let mut backoffs = Vec::from_iter((0..8).map(|_| session.on_failure(false)));
    assert!(backoffs.is_sorted() && backoffs.pop() == Some(MAX_BACKOFF), "{backoffs:?}");
    let resync = session.next_poll();
    assert_eq!((resync.after, resync.wait), (Some(41), Duration::ZERO), "resync without a wait");
    assert!(watch_timeout + MAX_BACKOFF + resync.timeout <= MAX_STALENESS);
    // Discovery recovers while a poll hangs: that poll, the backoff and the next poll.
    assert!(resync.timeout + MAX_BACKOFF + resync.timeout <= MAX_STALENESS);
    assert_eq!(session.on_response(EMPTY), Verdict::Applied);
    assert_eq!(session.next_poll().wait, PollTiming::DIRECT.watch_wait);
}

/// An agent that always responds after 3 s would never be waited for long enough if every poll had the short
/// timeout. After a broken watch, and after a poll that timed out, the next poll waits longer; the sums still
/// stay within the bound on staleness, in whatever order polls fail.
#[test]
fn slow_agent_gets_extended_timeout_within_max_staleness() {
    const RESPONSE_DELAY: Duration = Duration::from_secs(3);
    let mut session = Session::new(PollTiming::AGENT, None);
    let first = session.next_poll().timeout;
    let backoff = session.on_failure(false);
    assert!(
        session.next_poll().timeout > RESPONSE_DELAY && first + backoff + RESPONSE_DELAY <= MAX_STALENESS,
        "full snapshot"
    );
    session.on_response(FULL_SNAPSHOT);
    let watch_timeout = session.next_poll().timeout;
    session.on_failure(false);
    assert!(
        session.next_poll().timeout > RESPONSE_DELAY
            && watch_timeout + MAX_BACKOFF + session.next_poll().timeout <= MAX_STALENESS
    );
    for n in 0..8 {
        let timed_out_after = session.next_poll().timeout;
        session.on_failure(false);
        assert!(timed_out_after + MAX_BACKOFF + session.next_poll().timeout <= MAX_STALENESS, "{n}");
    }
    session.on_response(EMPTY);
    session.source_changed();
    let first = session.next_poll().timeout;
    let backoff = session.on_failure(false);
    assert!(
        session.next_poll().timeout > RESPONSE_DELAY && first + backoff + RESPONSE_DELAY <= MAX_STALENESS,
        "after a change of the source"
    );
}

/// A delayed response with an older full snapshot would undo a drain. It is rejected, and a full snapshot is
/// requested; only a second older one in a row shows that discovery itself was set back.
#[test]
fn older_snapshot_applies_only_when_repeated() {
    let mut session = watching();
    let older = ResponseSummary { index: 40, ..FULL_SNAPSHOT };
    assert_eq!(session.on_response(older), Verdict::Rejected);
    assert_eq!(
        session.next_poll(),
        PollRequest { after: None, wait: Duration::ZERO, timeout: PollTiming::DIRECT.resync_timeout }
    );
    assert_eq!(session.on_response(ResponseSummary { index: 43, ..FULL_SNAPSHOT }), Verdict::Applied);
    // A newer snapshot in between resets the count.
    assert_eq!(session.on_response(older), Verdict::Rejected);
    assert_eq!(session.on_response(older), Verdict::Applied, "second older snapshot in a row");
    assert_eq!(session.next_poll().after, Some(40));
    // Versions of a different discovery are not compared with those.
    session.reset_versions();
    assert_eq!(session.on_response(ResponseSummary { index: 7, ..FULL_SNAPSHOT }), Verdict::Applied);
}

/// Changes that do not build on the current version would corrupt the list, and an unreadable change would be
/// lost once the version moves past it. Both are rejected, and a full snapshot is requested.
#[test]
fn changes_that_do_not_fit_are_rejected() {
    for unfit in [
        ResponseSummary { index: 40, ..CHANGE },
        ResponseSummary { index: 40, ..EMPTY },
        ResponseSummary { index: 41, ..CHANGE },
        ResponseSummary { unreadable: 1, ..CHANGE },
        ResponseSummary { index: 42, unreadable: 1, ..EMPTY },
    ] {
        let mut session = watching();
        assert_eq!(session.on_response(unfit), Verdict::Rejected, "{unfit:?}");
        assert_eq!(session.next_poll().after, None, "{unfit:?}");
    }
    let mut session = watching();
    assert_eq!(session.on_response(CHANGE), Verdict::Applied);
    assert_eq!(session.on_response(ResponseSummary { index: 42, ..EMPTY }), Verdict::Applied);
    assert_eq!(session.next_poll().after, Some(42));
}

/// A response that is not a list casts doubt on the current version, so the next poll requests a full
/// snapshot. A mere change of the source keeps the version.
#[test]
fn invalid_response_leads_to_full_snapshot() {
    let mut session = watching();
    session.on_failure(true);
    assert_eq!(session.next_poll().after, None);
    let mut session = watching();
    session.source_changed();
    assert_eq!((session.next_poll().after, session.next_poll().wait), (Some(41), Duration::ZERO));
}

/// The response to a superseded poll fits the list as it was when the poll was superseded. An older list, or
/// changes of which some cannot be read, must not be applied.
#[test]
fn superseded_poll_accepts_what_fits_its_list() {
    let mut session = watching();
    let superseded = session.supersede_poll();
    session.source_changed();
    session.reset_versions();
    let accepted = [CHANGE, ResponseSummary { index: 43, ..CHANGE }, FULL_SNAPSHOT];
    let rejected = [
        ResponseSummary { index: 41, ..CHANGE },
        ResponseSummary { unreadable: 1, ..CHANGE },
        ResponseSummary { index: 40, ..FULL_SNAPSHOT },
    ];
    assert!(accepted.iter().all(|response| superseded.accepts(*response)), "{accepted:?}");
    assert!(!rejected.iter().any(|response| superseded.accepts(*response)), "{rejected:?}");
    let first = Session::new(PollTiming::DIRECT, None).supersede_poll();
    assert!(first.accepts(FULL_SNAPSHOT) && !first.accepts(CHANGE), "there is no list to change yet");
}

/// A superseded poll brings a version that is newer than the response to the poll under way, which discovery
/// had prepared before. That response must not undo it: the next one, prepared since, replaces the list.
#[test]
fn response_older_than_that_of_superseded_poll_is_rejected() {
    for stale in [FULL_SNAPSHOT, ResponseSummary { index: 42, ..FULL_SNAPSHOT }, CHANGE] {
        let mut session = watching();
        let superseded = session.supersede_poll();
        session.source_changed();
        session.reset_versions();
        let newer = ResponseSummary { index: 43, ..CHANGE };
        assert_eq!(session.on_superseded_response(superseded, newer), Verdict::Applied);
        let older = ResponseSummary { index: 42, ..CHANGE };
        assert_eq!(session.on_superseded_response(superseded, older), Verdict::Rejected);
        assert_eq!(session.on_response(stale), Verdict::Rejected, "{stale:?}");
        assert_eq!(session.next_poll().after, None, "{stale:?}");
        assert_eq!(session.on_response(FULL_SNAPSHOT), Verdict::Applied, "prepared since");
    }
}

/// If a fleet shares one discovery, a watch that starts with a separate poll adds to discovery's queue, and a
/// poll that times out while it is still queued has been worked on for nothing. So the resync starts the
/// watch and waits for as long as polls are queued, and the sum stays within the bound on staleness all the
/// same.
#[test]
fn queued_resync_starts_watch_and_waits_long() {
    let mut session = Session::new(PollTiming::QUEUED, None);
    assert_eq!(
        session.next_poll(),
        PollRequest { after: None, wait: Duration::ZERO, timeout: PollTiming::QUEUED.resync_timeout }
    );
    assert_eq!(session.on_response(FULL_SNAPSHOT), Verdict::Applied);
    assert_eq!(
        session.next_poll(),
        PollRequest {
            after: Some(41),
            wait: PollTiming::QUEUED.resync_wait,
            timeout: PollTiming::QUEUED.resync_timeout
        }
    );
    assert_eq!(session.on_response(EMPTY), Verdict::Applied);
    let watch = session.next_poll();
    assert_eq!((watch.after, watch.wait), (Some(41), PollTiming::DIRECT.watch_wait));
    session.on_failure(false);
    let resync = session.next_poll();
    assert_eq!((resync.after, resync.wait), (Some(41), PollTiming::QUEUED.resync_wait));
    assert!(watch.timeout + MAX_BALANCER_BACKOFF + resync.timeout <= MAX_STALENESS);
}

/// How long discovery works on a poll.
const WORK_MS: u64 = 230;
/// The longest for which discovery queues a poll.
const MAX_QUEUED_MS: u64 = 3_000;
/// The balancer's longest backoff after a broken watch, and after any other failed poll.
const MAX_BACKOFFS_MS: [u64; 2] = [800, 2_800];

/// If polls time out while discovery still has them in its queue, the queue stays full of polls that nobody
/// waits for, and the fleet never gets through. Here 32 client proxies start within a second, and discovery
/// needs seven seconds for their polls; all of them have to be watching after 20 s, without any poll that was
/// worked on for nothing.
#[test]
fn fleet_started_together_watches_without_wasted_polls() {
    const FLEET: usize = 32;
    let mut sessions: Vec<Session> = (0..FLEET).map(|_| Session::new(PollTiming::QUEUED, Some(41))).collect();
    // When each client proxy's next step is due: the start of a poll, or the end of the one in flight.
    let mut due: Vec<u64> = (0..FLEET as u64).map(|me| me * 31).collect();
    // The poll in flight, if any, and whether it will succeed.
    let mut in_flight: Vec<Option<bool>> = vec![None; FLEET];
    let (mut is_watching, mut busy_until, mut random, mut wasted) = ([false; FLEET], 0, 0, 0);
    for now in 0..20_000 {
        for me in 0..FLEET {
            if due[me] != now {
                continue;
            }
            let poll = sessions[me].next_poll();
            let Some(succeeded) = in_flight[me].take() else {
                let (wait, timeout) = (poll.wait.as_millis() as u64, poll.timeout.as_millis() as u64);
                // Renewing a watch is free; all other polls are worked on one after another, or rejected.
                let done = now.max(busy_until) + WORK_MS;
                let rejected = !is_watching[me] && done > now + MAX_QUEUED_MS;
                if !is_watching[me] && !rejected {
                    busy_until = done;
                }
                let end = if is_watching[me] { now + wait } else { done.max(now + wait) };
                let timed_out = !rejected && end > now + timeout;
                wasted += usize::from(timed_out);
                in_flight[me] = Some(!rejected && !timed_out);
                due[me] = if rejected { now + 4 } else { end.min(now + timeout) };
                continue;
            };
            // By discovery's rule, a poll right after the response to a watch renews that watch.
            is_watching[me] = succeeded && !poll.wait.is_zero();
            due[me] = now + 1;
            if succeeded {
                let response = ResponseSummary { index: 41, full_snapshot: poll.after.is_none(), ..EMPTY };
                assert_eq!(sessions[me].on_response(response), Verdict::Applied);
            } else {
                let max_backoff = MAX_BACKOFFS_MS
                    [usize::from(sessions[me].next_poll().wait != PollTiming::DIRECT.watch_wait)];
                sessions[me].on_failure(false);
                random = (random + 618) % 1000;
                due[me] += max_backoff * random / 1000;
            }
        }
    }
    let watching = is_watching.iter().filter(|is_watching| **is_watching).count();
    assert_eq!((watching, wasted), (FLEET, 0), "watching of {FLEET}, polls worked on for nothing");
}
