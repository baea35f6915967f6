use super::*;

fn headers(date: &str, age: &str) -> HeaderMap {
    let fields = [(DATE, date), (AGE, age)].into_iter().filter(|(_, value)| !value.is_empty());
    fields.map(|(name, value)| (name, value.parse().expect("a valid header value"))).collect()
}

/// A relay passes on `Date` as discovery sent it, so by itself it is too early by the time for which relays
/// have had the response, and ages measured against it are wrong. An invalid `Date` must not be taken for a
/// time.
#[test]
fn origin_time_is_date_plus_age() {
    let time = |date, age| origin_time(&headers(date, age)).map(|time| time.as_secs());
    let date = "Tue, 14 Nov 2023 22:13:20 GMT";
    assert_eq!(time(date, ""), Some(1_700_000_000));
    assert_eq!(time(date, "7"), Some(1_700_000_007));
    assert_eq!(time(date, "soon"), Some(1_700_000_000));
    assert_eq!(
        (time("", "7"), time("yesterday", ""), time(date, "18446744073709551615")),
        (None, None, None)
    );
}
