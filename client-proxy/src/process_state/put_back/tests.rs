use super::*;

const BOOT: Option<&str> = Some("this boot");
const NOW: Millis = 900_000.0;

fn unix(at: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("s1".to_owned(), at)])
}

/// What a file says, read for the first time: with and without a time by the monotonic clock.
fn read(boot_id: &str, at: Option<Millis>) -> EnabledTimes {
    let at = at.map(|at| ("s1".to_owned(), at)).into_iter().collect();
    let mut times = EnabledTimes { boot_id: Some(boot_id.to_owned()), by_endpoint: at };
    times.reconcile(&unix(5.0), (&BTreeMap::new(), &EnabledTimes::default()), BOOT, NOW);
    times
}

/// Guards against a stepped wall clock, another boot's clock and a file of an earlier version: an endpoint is
/// cold from when it was put back where that is known, else from when that was read.
#[test]
fn a_put_back_is_timed_by_the_clock_of_this_boot_or_else_from_now() {
    assert_eq!(read("this boot", Some(NOW - 5e3)).get("s1"), Some(NOW - 5e3));
    assert_eq!(read("another boot", Some(NOW - 5e3)).get("s1"), Some(NOW));
    assert_eq!(read("this boot", Some(NOW + 5e3)).get("s1"), Some(NOW), "ahead of this machine's clock");
    assert_eq!(read("this boot", None).get("s1"), Some(NOW), "of an earlier version");
    let mut nowhere = EnabledTimes { boot_id: None, by_endpoint: BTreeMap::from([("s1".to_owned(), 5.0)]) };
    nowhere.reconcile(&unix(5.0), (&BTreeMap::new(), &EnabledTimes::default()), None, NOW);
    assert_eq!(nowhere.get("s1"), Some(NOW), "no boot is known");
}

/// Guards against an endpoint that is cold anew each time the file is read, where an earlier version writes
/// it too.
#[test]
fn a_put_back_keeps_its_time_until_it_is_put_back_again() {
    let first = read("this boot", None);
    let mut again = EnabledTimes::default();
    again.reconcile(&unix(5.0), (&unix(5.0), &first), BOOT, NOW + 700.0);
    assert_eq!(again, first);
    again.reconcile(&unix(6.0), (&unix(5.0), &first), BOOT, NOW + 900.0);
    assert_eq!(again.get("s1"), Some(NOW), "what the file says by the monotonic clock is believed first");
    let mut anew = EnabledTimes::default();
    anew.reconcile(&unix(6.0), (&unix(5.0), &first), BOOT, NOW + 900.0);
    assert_eq!(anew.get("s1"), Some(NOW + 900.0));
    anew.reconcile(&BTreeMap::new(), (&unix(6.0), &first), BOOT, NOW + 900.0);
    assert_eq!(anew.get("s1"), None, "taken out again");
}
