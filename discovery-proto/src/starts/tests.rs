use super::*;

const NOW: Millis = 50_000.0;
const UNIX_MS: f64 = 1_700_000_000_000.0;
const HOUR: Millis = 3_600_000.0;

fn entry(endpoint: u32, since_ms: f64) -> EndpointEntry {
    let started = (since_ms > 0.0).then_some(since_ms);
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        started_at: started,
        state: EndpointState::Up,
    }
}

fn received(local: Millis) -> ReceivedAt {
    ReceivedAt { local, discovery_unix_ms: None }
}

/// The translated start times of a response that lists endpoints 0, 1, ... with these start times.
fn translate(starts: &mut StartTimes, since_ms: &[f64], received: ReceivedAt) -> Vec<Option<Millis>> {
    let mut entries: Vec<EndpointEntry> =
        (0..).zip(since_ms).map(|(endpoint, since)| entry(endpoint, *since)).collect();
    starts.translate_response(&mut entries, received);
    entries.iter().map(|entry| entry.started_at).collect()
}

/// If discovery's clock is wrong, the Unix time of a new process may look old or lie in the future. A start
/// time that first appears after the first response counts as now, whatever its value.
#[test]
fn start_in_later_response_counts_as_now() {
    for since in [UNIX_MS, UNIX_MS - HOUR, UNIX_MS + HOUR] {
        let mut starts = StartTimes::default();
        translate(&mut starts, &[0.0, UNIX_MS - 9e3, UNIX_MS - 9e3], received(NOW));
        let translated = translate(&mut starts, &[since, UNIX_MS - 9e3, 0.0], received(NOW + 700.0));
        assert_eq!(translated, [Some(NOW + 700.0), Some(NOW), None], "{since}");
    }
}

/// If the same start time were translated differently each time, each response would make the endpoint look
/// like a new process.
#[test]
fn repeated_start_translates_to_same_time() {
    let mut starts = StartTimes::default();
    let translated = translate(&mut starts, &[UNIX_MS, UNIX_MS - 3e3, UNIX_MS], received(NOW));
    assert_eq!(translated, [Some(NOW), Some(NOW - 3e3), Some(NOW)]);
    let later = ReceivedAt { local: NOW + 40e3, discovery_unix_ms: Some(UNIX_MS + HOUR) };
    assert_eq!(translate(&mut starts, &[UNIX_MS, UNIX_MS - 3e3, UNIX_MS], later), translated, "repeated");
    // Removed, with and without its start time, and listed again.
    let removed = |since_ms| EndpointEntry { state: EndpointState::Removed, ..entry(1, since_ms) };
    for since_ms in [0.0, UNIX_MS - 3e3] {
        starts.translate_response(&mut [removed(since_ms)], received(NOW + 41e3));
    }
    assert_eq!(translate(&mut starts, &[UNIX_MS, UNIX_MS - 3e3], received(NOW + 42e3)), translated[..2]);
    // A new process.
    let restarted = translate(&mut starts, &[UNIX_MS, UNIX_MS + 1.0], received(NOW + 43e3));
    assert_eq!(restarted, [Some(NOW), Some(NOW + 43e3)]);
}

/// The caller's wall clock may be wrong. The ages in the first full snapshot are measured against the time in
/// discovery's own response.
#[test]
fn first_snapshot_uses_discovery_time() {
    let dated = ReceivedAt { local: NOW, discovery_unix_ms: Some(UNIX_MS) };
    let since_ms = [UNIX_MS - 8e3, UNIX_MS - HOUR, UNIX_MS + 400.0, UNIX_MS + HOUR, 0.0];
    let translated = translate(&mut StartTimes::default(), &since_ms, dated);
    assert_eq!(translated, [Some(NOW - 8e3), Some(NOW - HOUR), Some(NOW), Some(NOW), None]);
}

/// Without a date, discovery's clock has reached at least the second newest start time in the response, and a
/// process that is not older than that has just started.
#[test]
fn undated_snapshot_uses_second_newest_start() {
    let translated =
        translate(&mut StartTimes::default(), &[UNIX_MS - 30e3, UNIX_MS - 2e3, UNIX_MS, 0.0], received(NOW));
    assert_eq!(translated, [Some(NOW - 28e3), Some(NOW), Some(NOW), None]);
    assert_eq!(
        translate(&mut StartTimes::default(), &[UNIX_MS - HOUR, 0.0], received(NOW)),
        [Some(NOW), None]
    );
    // A single machine whose clock is ahead does not make all others look warmed up.
    let translated =
        translate(&mut StartTimes::default(), &[UNIX_MS, UNIX_MS - 50.0, UNIX_MS + HOUR], received(NOW));
    assert_eq!(translated, [Some(NOW), Some(NOW - 50.0), Some(NOW)]);
}

/// The start times of a cached list can only be taken as now, which puts every endpoint into slow start. The
/// first response shows their true ages; but no endpoint's start is moved to later than when it was first
/// listed.
#[test]
fn first_response_corrects_cached_starts() {
    let mut starts = StartTimes::default();
    let mut cached = [entry(0, UNIX_MS), entry(1, UNIX_MS), entry(2, UNIX_MS)];
    starts.translate_cached(&mut cached, received(NOW));
    assert_eq!(cached[0].started_at, Some(NOW));
    let translated =
        translate(&mut starts, &[UNIX_MS, UNIX_MS, UNIX_MS + HOUR, UNIX_MS + HOUR], received(NOW + 500.0));
    let warmed_up = Some(NOW + 500.0 - HOUR);
    assert_eq!(translated, [warmed_up, warmed_up, Some(NOW + 500.0), Some(NOW + 500.0)]);
    let mut starts = StartTimes::default();
    starts.translate_cached(&mut [entry(0, UNIX_MS)], received(NOW));
    assert_eq!(translate(&mut starts, &[UNIX_MS], received(NOW + 500.0)), [Some(NOW)]);
}
