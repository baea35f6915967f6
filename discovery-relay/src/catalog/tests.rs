use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use discovery_proto::EndpointListError;
use serde_json::Value;

use super::entry::MAX_ENTRY_LENGTH;
use super::*;

const TOMBSTONE_RETENTION: TombstoneRetention =
    TombstoneRetention { max_per_service: 100, max_age: Duration::from_secs(600) };
const START: Duration = Duration::ZERO;

fn entry(name: &str, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"10.0.0.1:5000","zone":"a","status":"{status}","since_ms":0}}"#)
}

fn update(index: u64, full_snapshot: bool, entries: &[String]) -> Update {
    let json =
        format!(r#"{{"index":{index},"snapshot":{full_snapshot},"endpoints":[{}]}}"#, entries.join(","));
    Update::parse(json.as_bytes()).expect("a valid list")
}

fn serving(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| entry(name, "SERVING")).collect()
}

/// A catalog with a full snapshot at version 10, in which all endpoints are serving.
fn catalog_with(names: &[&str]) -> Catalog {
    let scopes = [("both".to_owned(), vec!["shop".to_owned(), "till".to_owned()])];
    let mut catalog = Catalog::new(TOMBSTONE_RETENTION, scopes);
    assert!(matches!(catalog.apply(update(10, true, &serving(names)), START), ApplyOutcome::Changed(_)));
    catalog
}

/// The version, whether it is a full snapshot, and the name and status of each entry.
type ParsedList = (u64, bool, Vec<(String, String)>);

/// The list that a downstream with version `after` is sent, or `None` if nothing has changed.
fn list_after(catalog: &mut Catalog, scope: &str, after: Option<u64>) -> Option<ParsedList> {
    let scope = catalog.scope(scope).expect("a known scope");
    let CatalogResponse::List(encoded) = catalog.list_after(&scope, after) else { return None };
    let json = [encoded.head(), encoded.tail].concat();
    let list: Value = serde_json::from_slice(&json).expect("valid JSON");
    let text = |entry: &Value, field: &str| entry[field].as_str().expect("a string").to_owned();
    let endpoints = list["endpoints"].as_array().expect("an array");
    let endpoints = endpoints.iter().map(|entry| (text(entry, "name"), text(entry, "status"))).collect();
    Some((list["index"].as_u64()?, list["snapshot"].as_bool()?, endpoints))
}

fn pairs(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(name, status)| ((*name).to_owned(), (*status).to_owned())).collect()
}

/// If each change notified all watchers, or were encoded once for each, a relay could not serve many
/// watchers. Only the watchers of scopes with the changed service are notified, and all watchers that need
/// the same changes share one encoding.
#[test]
fn change_notifies_affected_scopes_and_encodes_once() {
    let mut catalog = catalog_with(&["shop-1", "shop-2", "till-1", "bank-1"]);
    let [shop, bank, both] = ["shop", "BANK", "both"].map(|name| catalog.scope(name).expect("a known scope"));
    let watchers = |scope: &Scope| Vec::from_iter((0..50).map(|_| scope.subscribe()));
    let (shop_watchers, bank_watchers, both_watchers) = (watchers(&shop), watchers(&bank), watchers(&both));
    let bank_before = bank.watchers_and_encodings();
    assert_eq!(
        catalog.apply(update(11, false, &[entry("shop-2", "DRAINING")]), START),
        ApplyOutcome::Changed(1)
    );
    let notified = |watchers: &[tokio::sync::watch::Receiver<u64>]| {
        watchers.iter().filter(|changes| changes.has_changed().expect("the scope exists")).count()
    };
    assert_eq!([notified(&shop_watchers), notified(&bank_watchers), notified(&both_watchers)], [50, 0, 50]);
    for _ in 0..50 {
        for scope in ["shop", "both"] {
            let list = list_after(&mut catalog, scope, Some(10));
            assert_eq!(list, Some((11, false, pairs(&[("shop-2", "DRAINING")]))));
        }
        assert_eq!(list_after(&mut catalog, "bank", Some(10)), None);
    }
    assert_eq!(
        (shop.watchers_and_encodings(), both.watchers_and_encodings(), bank.watchers_and_encodings()),
        ((50, 1), (50, 1), bank_before)
    );
    // Two versions without a change of this scope between them share one encoding.
    catalog.apply(update(12, false, &[entry("bank-1", "DRAINING")]), START);
    catalog.apply(update(13, false, &[entry("shop-1", "DRAINING")]), START);
    assert_eq!(list_after(&mut catalog, "shop", Some(11)), list_after(&mut catalog, "shop", Some(12)));
    assert_eq!(shop.watchers_and_encodings().1, 2);
}

/// An endpoint that a full snapshot no longer contains would be used for ever by downstreams that are sent
/// only changes, so its removal is sent as a change. Entries that only differ in white space are not.
#[test]
fn endpoint_absent_from_snapshot_is_sent_as_removed() {
    let mut catalog = catalog_with(&["shop-1", "shop-2", "till-1"]);
    assert_eq!(
        catalog.apply(update(14, true, &serving(&["shop-2", "till-1"])), START),
        ApplyOutcome::Changed(1)
    );
    assert_eq!(
        list_after(&mut catalog, "shop", Some(10)),
        Some((14, false, pairs(&[("shop-1", "DELETED")])))
    );
    assert_eq!(list_after(&mut catalog, "till", Some(10)), None, "same JSON, so not changed");
    assert_eq!(list_after(&mut catalog, "shop", None), Some((14, true, pairs(&[("shop-2", "SERVING")]))));
    assert_eq!(catalog.endpoint_count(), 2);
    // The same JSON value with other white space is no change either.
    let spaced = entry("till-1", "SERVING").replace(':', " : ").replace(" : 5000", ":5000");
    assert_eq!(catalog.apply(update(15, false, &[spaced]), START), ApplyOutcome::Changed(0));
}

/// A source that has lost its list would make the whole fleet lose its endpoints. A snapshot without most of
/// the endpoints is applied only when the next one confirms it. That a small service loses half is normal.
#[test]
fn snapshot_removing_most_endpoints_needs_confirmation() {
    let names: Vec<String> = (0..40).map(|n| format!("shop-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut catalog = catalog_with(&names);
    for remaining in [&names[..0], &names[..15]] {
        assert_eq!(
            catalog.apply(update(11, true, &serving(remaining)), START),
            ApplyOutcome::AwaitingConfirmation
        );
        assert_eq!(
            (catalog.endpoint_count(), list_after(&mut catalog, "shop", Some(10))),
            (40, None),
            "not applied"
        );
        assert_eq!(catalog.apply(update(12, true, &serving(&names)), START), ApplyOutcome::Changed(0));
    }
    assert_eq!(catalog.apply(update(13, true, &[]), START), ApplyOutcome::AwaitingConfirmation);
    assert_eq!(catalog.apply(update(13, true, &[]), START), ApplyOutcome::Changed(40));
    assert_eq!(catalog.endpoint_count(), 0);
    let mut small = catalog_with(&["till-1", "till-2", "till-3", "till-4"]);
    assert_eq!(small.apply(update(11, true, &serving(&["till-1"])), START), ApplyOutcome::Changed(3));
}

/// A downstream that comes from another relay may have a newer version; sending it an older list would undo
/// changes. But after the source was reset to a lower version, the relay can never catch up with versions
/// from before, and those downstreams need a full snapshot.
#[test]
fn newer_downstream_gets_list_only_after_reset() {
    let mut catalog = catalog_with(&["shop-1", "shop-2"]);
    let shop = catalog.scope("shop").expect("a known scope");
    assert!(matches!(catalog.list_after(&shop, Some(11)), CatalogResponse::Behind));
    catalog.apply(update(11, false, &[]), START);
    assert!(matches!(catalog.list_after(&shop, Some(11)), CatalogResponse::Unchanged));
    // The source was reset to 4: versions up to 11 get a full snapshot. A version that was never served has
    // to wait.
    catalog.apply(update(4, true, &serving(&["shop-1", "shop-2"])), START);
    let all = pairs(&[("shop-1", "SERVING"), ("shop-2", "SERVING")]);
    assert_eq!(list_after(&mut catalog, "shop", Some(11)), Some((4, true, all.clone())));
    assert_eq!(
        list_after(&mut catalog, "shop", Some(3)),
        Some((4, true, all)),
        "a version from before the reset"
    );
    assert_eq!(list_after(&mut catalog, "shop", Some(4)), None);
    assert!(matches!(catalog.list_after(&shop, Some(12)), CatalogResponse::Behind));
}

/// A removal whose tombstone has been dropped would be missing from the changes after an older version, and
/// the endpoint would be used for ever. Such a downstream gets a full snapshot instead.
#[test]
fn version_before_known_history_gets_full_snapshot() {
    let mut catalog = catalog_with(&["shop-1", "shop-2", "till-1"]);
    assert_eq!(
        list_after(&mut catalog, "shop", Some(9)).map(|list| list.1),
        Some(true),
        "from before the start"
    );
    let shop = catalog.scope("shop").expect("a known scope");
    let till = catalog.scope("till").expect("a known scope");
    let till_changes = till.subscribe();
    catalog.apply(update(11, false, &["shop-1", "till-1"].map(|name| entry(name, "DELETED"))), START);
    let later = TOMBSTONE_RETENTION.max_age + Duration::from_secs(1);
    catalog.expire_tombstones(TOMBSTONE_RETENTION.max_age - Duration::from_secs(1));
    assert_eq!(
        list_after(&mut catalog, "shop", Some(10)),
        Some((11, false, pairs(&[("shop-1", "DELETED")])))
    );
    catalog.expire_tombstones(later);
    assert_eq!(list_after(&mut catalog, "shop", Some(10)), Some((11, true, pairs(&[("shop-2", "SERVING")]))));
    assert!(matches!(catalog.list_after(&shop, Some(11)), CatalogResponse::Unchanged));
    // A service of which nothing is left: in a scope with another service, and alone.
    assert_eq!(list_after(&mut catalog, "both", Some(10)), Some((11, true, pairs(&[("shop-2", "SERVING")]))));
    assert_eq!(list_after(&mut catalog, "till", Some(10)), Some((11, true, Vec::new())));
    // Watchers of the empty service are notified when it returns.
    catalog.apply(update(12, false, &serving(&["till-9"])), later);
    assert!(till_changes.has_changed().expect("the scope exists"));
    assert_eq!(
        list_after(&mut catalog, "till", Some(11)),
        Some((12, false, pairs(&[("till-9", "SERVING")])))
    );
}

/// Names that never return must not use memory for ever. Here a month passes with 9,000 replaced endpoints a
/// day, and with services that come and go.
#[test]
fn replaced_endpoints_and_services_are_forgotten() {
    let (rng, mut max_entries) = (&mut Pcg32::seed_from_u64(1), 0);
    let mut names: Vec<String> = (0..360).map(|n| format!("service{}-{n}", n % 21)).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut catalog = catalog_with(&all);
    let replacements = 30 * 9_000u64;
    for n in 0..replacements {
        let now = Duration::from_secs(30 * 86_400).mul_f64(n as f64 / replacements as f64);
        let replaced = rng.next_u32() as usize % names.len();
        let service = if n % 1000 == 0 { 21 + n / 1000 } else { u64::from(rng.next_u32() % 21) };
        let old = std::mem::replace(&mut names[replaced], format!("service{service}-{}", 1000 + n));
        let entries = [entry(&old, "DELETED"), entry(&names[replaced], "SERVING")];
        catalog.apply(update(11 + n, false, &entries), now);
        catalog.expire_tombstones(now);
        max_entries = max_entries.max(catalog.all_services.len());
    }
    assert_eq!(catalog.endpoint_count(), 360);
    // 62 endpoints are replaced in the ten minutes for which tombstones are kept.
    assert!(max_entries < 360 + 70, "{max_entries} entries kept");
    assert!(catalog.services.len() < 21 + 20, "{} services kept", catalog.services.len());
    catalog.expire_tombstones(Duration::from_secs(31 * 86_400));
    assert_eq!(catalog.all_services.len(), 360);
}

/// Many removals within the retention time must not use more memory than the bound on tombstones allows.
#[test]
fn number_of_tombstones_is_bounded() {
    let mut catalog = catalog_with(&["shop-a"]);
    for n in 0..1000u64 {
        let name = format!("shop-{n}");
        catalog.apply(update(11 + 2 * n, false, &[entry(&name, "SERVING")]), START);
        catalog.apply(update(12 + 2 * n, false, &[entry(&name, "DELETED")]), START);
        catalog.expire_tombstones(START);
    }
    assert_eq!(catalog.all_services.len(), 1 + TOMBSTONE_RETENTION.max_per_service);
    assert_eq!(list_after(&mut catalog, "shop", Some(50)).map(|list| list.1), Some(true));
    assert_eq!(list_after(&mut catalog, "shop", Some(2000)).map(|list| list.1), Some(false));
}

/// A malformed response, or a full snapshot without a valid entry, must not be taken for an empty list.
/// Invalid entries among valid ones are counted and skipped.
#[test]
fn unreadable_entries_are_counted_and_malformed_lists_rejected() {
    let long = entry("shop-1", "SERVING").replace("10.0", &"1".repeat(MAX_ENTRY_LENGTH));
    let invalid = [entry("shop-1", "AWAY"), "17".into(), r#"{"status":"SERVING"}"#.into(), long];
    let mixed = update(11, false, &[&invalid[..], &serving(&["shop-2"])].concat());
    assert_eq!((mixed.readable(), mixed.unreadable), (1, 4));
    for json in ["", "{", "{}", r#"{"index":1}"#, r#"{"index":-1,"endpoints":[]}"#] {
        assert!(matches!(Update::parse(json.as_bytes()), Err(EndpointListError::Malformed(_))), "{json}");
    }
    let none_valid = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, invalid[0]);
    assert!(matches!(Update::parse(none_valid.as_bytes()), Err(EndpointListError::NoReadableEntries)));
    // An entry is passed on unchanged, with its unknown fields.
    let with_unknown_field = r#"{"name":"shop-7","status":"SERVING","shard":7}"#.to_owned();
    let mut catalog = catalog_with(&["till-1"]);
    catalog.apply(update(11, false, std::slice::from_ref(&with_unknown_field)), START);
    let shop = catalog.scope("shop").expect("a known scope");
    let CatalogResponse::List(list) = catalog.list_after(&shop, Some(10)) else { panic!("a change") };
    assert!(std::str::from_utf8(&list.tail).expect("UTF-8").contains(&with_unknown_field));
}
