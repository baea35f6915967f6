use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::*;

const TOMBSTONE_RETENTION: TombstoneRetention =
    TombstoneRetention { most: 100, long: Duration::from_secs(600) };
const START: Duration = Duration::ZERO;

fn entry(name: &str, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"10.0.0.1:5000","zone":"a","status":"{status}","since_ms":0}}"#)
}

fn update(index: u64, whole: bool, entries: &[String]) -> Update {
    let text = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","));
    Update::read(text.as_bytes()).expect("a list")
}

fn serving(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| entry(name, "SERVING")).collect()
}

/// Holds a whole list at version 10.
fn holding(names: &[&str]) -> Catalog {
    let scopes = [("both".to_owned(), vec!["shop".to_owned(), "till".to_owned()])];
    let mut catalog = Catalog::new(TOMBSTONE_RETENTION, scopes);
    assert!(matches!(catalog.take(update(10, true, &serving(names)), START), ApplyOutcome::Changed(_)));
    catalog
}

/// Version, whether it is the whole list, and each name with its state.
type Read = (u64, bool, Vec<(String, String)>);

/// What a caller reads.
fn read(catalog: &mut Catalog, scope: &str, after: Option<u64>) -> Option<Read> {
    let scope = catalog.scope(scope).expect("a scope");
    let CatalogAnswer::News(reply) = catalog.tell(&scope, after) else { return None };
    let text = [reply.head(), reply.rest].concat();
    let list: Value = serde_json::from_slice(&text).expect("JSON");
    let said = |entry: &Value, field: &str| entry[field].as_str().expect("a text").to_owned();
    let endpoints = list["endpoints"].as_array().expect("a list");
    let endpoints = endpoints.iter().map(|entry| (said(entry, "name"), said(entry, "status"))).collect();
    Some((list["index"].as_u64()?, list["snapshot"].as_bool()?, endpoints))
}

fn pairs(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(name, status)| ((*name).to_owned(), (*status).to_owned())).collect()
}

/// Guards against a change that costs by all watchers: only those whom it concerns are woken, however many
/// others there are, and one encoding serves all that hold the same.
#[test]
fn a_change_wakes_and_costs_only_whom_it_concerns() {
    let mut catalog = holding(&["shop-1", "shop-2", "till-1", "bank-1"]);
    let [shop, bank, both] = ["shop", "BANK", "both"].map(|name| catalog.scope(name).expect("known"));
    let watchers = |scope: &Scope| Vec::from_iter((0..50).map(|_| scope.news()));
    let (shops, banks, boths) = (watchers(&shop), watchers(&bank), watchers(&both));
    let before = bank.watched();
    assert_eq!(
        catalog.take(update(11, false, &[entry("shop-2", "DRAINING")]), START),
        ApplyOutcome::Changed(1)
    );
    let woken = |all: &[tokio::sync::watch::Receiver<u64>]| {
        all.iter().filter(|news| news.has_changed().expect("open")).count()
    };
    assert_eq!([woken(&shops), woken(&banks), woken(&boths)], [50, 0, 50]);
    for _ in 0..50 {
        for scope in ["shop", "both"] {
            let told = read(&mut catalog, scope, Some(10));
            assert_eq!(told, Some((11, false, pairs(&[("shop-2", "DRAINING")]))));
        }
        assert_eq!(read(&mut catalog, "bank", Some(10)), None);
    }
    assert_eq!((shop.watched(), both.watched(), bank.watched()), ((50, 1), (50, 1), before));
    // Those who hold an earlier version, with nothing between, are told the same bytes.
    catalog.take(update(12, false, &[entry("bank-1", "DRAINING")]), START);
    catalog.take(update(13, false, &[entry("shop-1", "DRAINING")]), START);
    assert_eq!(read(&mut catalog, "shop", Some(11)), read(&mut catalog, "shop", Some(12)));
    assert_eq!(shop.watched().1, 2);
}

/// Guards against an endpoint that a whole list no longer names and that goes on being used: absent is
/// gone.
#[test]
fn who_is_absent_from_a_whole_list_is_told_as_gone() {
    let mut catalog = holding(&["shop-1", "shop-2", "till-1"]);
    assert_eq!(
        catalog.take(update(14, true, &serving(&["shop-2", "till-1"])), START),
        ApplyOutcome::Changed(1)
    );
    assert_eq!(read(&mut catalog, "shop", Some(10)), Some((14, false, pairs(&[("shop-1", "DELETED")]))));
    assert_eq!(read(&mut catalog, "till", Some(10)), None, "spelled alike, so not changed");
    assert_eq!(read(&mut catalog, "shop", None), Some((14, true, pairs(&[("shop-2", "SERVING")]))));
    assert_eq!(catalog.listed(), 2);
    // Another spelling of the same is no change either.
    let spaced = entry("till-1", "SERVING").replace(':', " : ").replace(" : 5000", ":5000");
    assert_eq!(catalog.take(update(15, false, &[spaced]), START), ApplyOutcome::Changed(0));
}

/// Guards against a source that has lost its list and takes the fleet with it: most of it goes only when that
/// is said twice. A small service that halves is ordinary.
#[test]
fn a_list_that_shrinks_by_most_counts_when_it_is_said_again() {
    let names: Vec<String> = (0..40).map(|n| format!("shop-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut catalog = holding(&names);
    for empty in [&names[..0], &names[..15]] {
        assert_eq!(
            catalog.take(update(11, true, &serving(empty)), START),
            ApplyOutcome::AwaitingConfirmation
        );
        assert_eq!((catalog.listed(), read(&mut catalog, "shop", Some(10))), (40, None), "nobody is told");
        assert_eq!(catalog.take(update(12, true, &serving(&names)), START), ApplyOutcome::Changed(0));
    }
    assert_eq!(catalog.take(update(13, true, &[]), START), ApplyOutcome::AwaitingConfirmation);
    assert_eq!(catalog.take(update(13, true, &[]), START), ApplyOutcome::Changed(40));
    assert_eq!(catalog.listed(), 0);
    let mut small = holding(&["till-1", "till-2", "till-3", "till-4"]);
    assert_eq!(small.take(update(11, true, &serving(&["till-1"])), START), ApplyOutcome::Changed(3));
}

/// Guards against a version that runs backwards for a caller that comes from another relay, and against one
/// that can never be right again because the source was set back.
#[test]
fn a_caller_that_holds_more_is_not_told_less() {
    let mut catalog = holding(&["shop-1", "shop-2"]);
    let shop = catalog.scope("shop").expect("known");
    assert!(matches!(catalog.tell(&shop, Some(11)), CatalogAnswer::Behind));
    catalog.take(update(11, false, &[]), START);
    assert!(matches!(catalog.tell(&shop, Some(11)), CatalogAnswer::Nothing));
    // The source was set back to 4: who holds up to 11 is told all of it, and who holds more than any relay
    // told, waits.
    catalog.take(update(4, true, &serving(&["shop-1", "shop-2"])), START);
    let all = pairs(&[("shop-1", "SERVING"), ("shop-2", "SERVING")]);
    assert_eq!(read(&mut catalog, "shop", Some(11)), Some((4, true, all.clone())));
    assert_eq!(read(&mut catalog, "shop", Some(3)), Some((4, true, all)), "an old number of the old count");
    assert_eq!(read(&mut catalog, "shop", Some(4)), None);
    assert!(matches!(catalog.tell(&shop, Some(12)), CatalogAnswer::Behind));
}

/// Guards against a removal that goes unheard because the relay has forgotten it: who asks from before is
/// told all.
#[test]
fn who_is_too_far_behind_gets_the_whole_list() {
    let mut catalog = holding(&["shop-1", "shop-2", "till-1"]);
    assert_eq!(read(&mut catalog, "shop", Some(9)).map(|told| told.1), Some(true), "from before the start");
    let shop = catalog.scope("shop").expect("known");
    let till = catalog.scope("till").expect("known");
    let watch = till.news();
    catalog.take(update(11, false, &["shop-1", "till-1"].map(|name| entry(name, "DELETED"))), START);
    let later = TOMBSTONE_RETENTION.long + Duration::from_secs(1);
    catalog.forget(TOMBSTONE_RETENTION.long - Duration::from_secs(1));
    assert_eq!(read(&mut catalog, "shop", Some(10)), Some((11, false, pairs(&[("shop-1", "DELETED")]))));
    catalog.forget(later);
    assert_eq!(read(&mut catalog, "shop", Some(10)), Some((11, true, pairs(&[("shop-2", "SERVING")]))));
    assert!(matches!(catalog.tell(&shop, Some(11)), CatalogAnswer::Nothing));
    // A service that nothing is left of, in a scope with others, and alone.
    assert_eq!(read(&mut catalog, "both", Some(10)), Some((11, true, pairs(&[("shop-2", "SERVING")]))));
    assert_eq!(read(&mut catalog, "till", Some(10)), Some((11, true, Vec::new())));
    // Who still watches it hears of its return.
    catalog.take(update(12, false, &serving(&["till-9"])), later);
    assert!(watch.has_changed().expect("open"));
    assert_eq!(read(&mut catalog, "till", Some(11)), Some((12, false, pairs(&[("till-9", "SERVING")]))));
}

/// Guards against memory that grows with what has happened: a month of 9,000 replacements a day, among names
/// that never come again, and services that come and go.
#[test]
fn a_month_of_replacements_leaves_nothing_behind() {
    let (rng, mut most) = (&mut Pcg32::seed_from_u64(1), 0);
    let mut names: Vec<String> = (0..360).map(|n| format!("service{}-{n}", n % 21)).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut catalog = holding(&all);
    let replacements = 30 * 9_000u64;
    for n in 0..replacements {
        let now = Duration::from_secs(30 * 86_400).mul_f64(n as f64 / replacements as f64);
        let which = rng.next_u32() as usize % names.len();
        let service = if n % 1000 == 0 { 21 + n / 1000 } else { u64::from(rng.next_u32() % 21) };
        let old = std::mem::replace(&mut names[which], format!("service{service}-{}", 1000 + n));
        let entries = [entry(&old, "DELETED"), entry(&names[which], "SERVING")];
        catalog.take(update(11 + n, false, &entries), now);
        catalog.forget(now);
        most = most.max(catalog.everything.len());
    }
    assert_eq!(catalog.listed(), 360);
    // In ten minutes 62 go.
    assert!(most < 360 + 70, "{most} names kept");
    assert!(catalog.services.len() < 21 + 20, "{} services kept", catalog.services.len());
    catalog.forget(Duration::from_secs(31 * 86_400));
    assert_eq!(catalog.everything.len(), 360);
}

/// Guards against a flood of names that are gone: no more are kept than the bound.
#[test]
fn names_that_are_gone_are_bounded_in_number() {
    let mut catalog = holding(&["shop-a"]);
    for n in 0..1000u64 {
        let name = format!("shop-{n}");
        catalog.take(update(11 + 2 * n, false, &[entry(&name, "SERVING")]), START);
        catalog.take(update(12 + 2 * n, false, &[entry(&name, "DELETED")]), START);
        catalog.forget(START);
    }
    assert_eq!(catalog.everything.len(), 1 + TOMBSTONE_RETENTION.most);
    assert_eq!(read(&mut catalog, "shop", Some(50)).map(|told| told.1), Some(true));
    assert_eq!(read(&mut catalog, "shop", Some(2000)).map(|told| told.1), Some(false));
}

/// Guards against an answer that is no list, and one whose entries cannot be read, taken for news.
#[test]
fn what_cannot_be_read_is_counted_or_refused() {
    let long = entry("shop-1", "SERVING").replace("10.0", &"1".repeat(MAX_ENTRY_LENGTH));
    let odd = [entry("shop-1", "AWAY"), "17".into(), r#"{"status":"SERVING"}"#.into(), long];
    let mixed = update(11, false, &[&odd[..], &serving(&["shop-2"])].concat());
    assert_eq!((mixed.readable(), mixed.unreadable), (1, 4));
    for text in ["", "{", "{}", r#"{"index":1}"#, r#"{"index":-1,"endpoints":[]}"#] {
        assert!(matches!(Update::read(text.as_bytes()), Err(EndpointListError::Malformed(_))), "{text}");
    }
    let none = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, odd[0]);
    assert!(matches!(Update::read(none.as_bytes()), Err(EndpointListError::NoReadableEntries)));
    // An answer of the other side is read back as it was written, its unknown fields too.
    let extra = r#"{"name":"shop-7","status":"SERVING","shard":7}"#.to_owned();
    let mut catalog = holding(&["till-1"]);
    catalog.take(update(11, false, std::slice::from_ref(&extra)), START);
    let shop = catalog.scope("shop").expect("known");
    let CatalogAnswer::News(reply) = catalog.tell(&shop, Some(10)) else { panic!("news") };
    assert!(std::str::from_utf8(&reply.rest).expect("text").contains(&extra));
}
