use super::*;

/// Guards against a typing error that turns a part off, or on with other values than were meant: an
/// unknown key, a wrong form or a zone that is none ends the start with file and key.
#[test]
fn a_wrong_key_is_named_with_its_file() {
    for (text, words) in [
        ("[zone]\nown = \"a\"", "line 1"),
        ("[zones]\nown = \"a\"\nregion = {}", "line 3"),
        ("[zones]\nown = 3\nregions = { a = \"n\" }", "line 2"),
        ("[zones]\nown = \"b\"\nregions = { a = \"n\" }", "zones.own"),
        ("[zones]\nregions = {}", "zones.regions"),
        ("[discovery]\nnear = []\nauthority = \"a\"", "discovery.near"),
        ("[discovery]\nnear = [\"10.0.0.1:1\"]\nauthority = \"a b\"", "discovery.authority"),
        ("[discovery]\nnear = [\"nowhere\"]\nauthority = \"a\"", "line 2"),
        ("[discovery]\nnear = [\"10.0.0.1:1\"]", "line 1"),
    ] {
        let said = FleetConfig::read("f.toml", text).expect_err(text).to_string();
        assert!(said.contains("f.toml") && said.contains(words), "{said}");
    }
}

/// Guards against zones that are near by chance: those that nobody has named share no region with any
/// other.
#[test]
fn zones_without_a_region_are_near_to_none() {
    let text = "[zones]\nown = \"b\"\nregions = { a = \"n\", b = \"n\", d = \"z\" }";
    let mut names = Names { zones: ["a", "b", "c"].map(String::from).to_vec(), ..Names::default() };
    let mut settings = crate::driver::tests::settings();
    FleetConfig::default().apply(&mut settings, &mut names);
    assert_eq!((settings.locality.clone(), names.zones.len()), (None, 3), "off");
    FleetConfig::read("f.toml", text).expect("sound").apply(&mut settings, &mut names);
    let Locality { own_zone, regions } = settings.locality.clone().expect("on");
    assert_eq!((own_zone, names.zones.last().map(String::as_str), regions.len()), (Some(1), Some("d"), 5));
    assert_eq!(regions[0], regions[1]);
    let alone = |z: usize| regions.iter().filter(|region| **region == regions[z]).count() == 1;
    assert!(alone(2) && alone(3) && alone(4), "{regions:?}");
    assert_eq!(settings.validate(), Ok(()));
}
