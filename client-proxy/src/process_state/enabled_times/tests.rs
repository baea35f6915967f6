use super::*;

const BOOT: Option<&str> = Some("this boot");
const NOW: Millis = 900_000.0;

fn unix(at: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("s1".to_owned(), at)])
}

/// The times read from a file for the first time, with and without a time on the monotonic clock.
fn read(boot_id: &str, at: Option<Millis>) -> EnabledTimes {
    let at = at.map(|at| ("s1".to_owned(), at)).into_iter().collect();
    let mut times = EnabledTimes { boot_id: Some(boot_id.to_owned()), by_endpoint: at };
    times.reconcile(&unix(5.0), (&BTreeMap::new(), &EnabledTimes::default()), BOOT, NOW);
    times
}

/// The wall clock may be stepped, the monotonic time may be of another boot, and the file may be of an
/// earlier version. Slow start counts from when the endpoint was enabled again if that is known, else from
/// when the file was read.
#[test]
fn attach_time_falls_back_to_now() {
    assert_eq!(read("this boot", Some(NOW - 5e3)).get("s1"), Some(NOW - 5e3));
    assert_eq!(read("another boot", Some(NOW - 5e3)).get("s1"), Some(NOW));
    assert_eq!(read("this boot", Some(NOW + 5e3)).get("s1"), Some(NOW), "ahead of this machine's clock");
    assert_eq!(read("this boot", None).get("s1"), Some(NOW), "of an earlier version");
    let mut without_boot =
        EnabledTimes { boot_id: None, by_endpoint: BTreeMap::from([("s1".to_owned(), 5.0)]) };
    without_boot.reconcile(&unix(5.0), (&BTreeMap::new(), &EnabledTimes::default()), None, NOW);
    assert_eq!(without_boot.get("s1"), Some(NOW), "no boot is known");
}

/// An earlier version that writes the file too must not restart slow start each time the file is read.
#[test]
fn attach_time_is_kept_until_next_attach() {
    let first = read("this boot", None);
    let mut again = EnabledTimes::default();
    again.reconcile(&unix(5.0), (&unix(5.0), &first), BOOT, NOW + 700.0);
    assert_eq!(again, first);
    again.reconcile(&unix(6.0), (&unix(5.0), &first), BOOT, NOW + 900.0);
    assert_eq!(again.get("s1"), Some(NOW), "the monotonic time in the file comes first");
    let mut newly_attached = EnabledTimes::default();
    newly_attached.reconcile(&unix(6.0), (&unix(5.0), &first), BOOT, NOW + 900.0);
    assert_eq!(newly_attached.get("s1"), Some(NOW + 900.0));
    newly_attached.reconcile(&BTreeMap::new(), (&unix(6.0), &first), BOOT, NOW + 900.0);
    assert_eq!(newly_attached.get("s1"), None, "disabled again");
}
