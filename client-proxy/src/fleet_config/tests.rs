use super::*;

/// A typing error could turn a feature off, or on with other values than intended. An unknown key, a wrong
/// type or an unknown zone ends the start with an error that names the file and the key.
#[test]
fn invalid_key_is_reported_with_file() {
    for (text, expected) in [
        ("[zone]\nown = \"a\"", "line 1"),
        ("[zones]\nown = \"a\"\nregion = {}", "line 3"),
        ("[zones]\nown = 3\nregions = { a = \"n\" }", "line 2"),
        ("[zones]\nown = \"b\"\nregions = { a = \"n\" }", "zones.own"),
        ("[zones]\nregions = {}", "zones.regions"),
        ("[discovery]\nnear = []\nauthority = \"a\"", "discovery.near"),
        ("[discovery]\nnear = [\"10.0.0.1:1\"]\nauthority = \"a b\"", "discovery.authority"),
        ("[discovery]\nnear = [\"nowhere\"]\nauthority = \"a\"", "line 2"),
        ("[discovery]\nnear = [\"10.0.0.1:1\"]", "line 1"),
        ("[log]\nlevel = \"loud\"", "line 2"),
        ("[metrics]\nreason = true", "line 2"),
    ] {
        let message = FleetConfig::read("f.toml", text).expect_err(text).to_string();
        assert!(message.contains("f.toml") && message.contains(expected), "{message}");
    }
}

/// Zones that the configuration does not name must not be near by chance: they share no region with any
/// other zone.
#[test]
fn zones_without_region_share_none() {
    let text = "[zones]\nown = \"b\"\nregions = { a = \"n\", b = \"n\", d = \"z\" }";
    let mut names = Names { zones: ["a", "b", "c"].map(String::from).to_vec(), ..Names::default() };
    let mut settings = crate::driver::tests::settings();
    FleetConfig::default().apply(&mut settings, &mut names);
    assert_eq!((settings.locality.clone(), names.zones.len()), (None, 3), "off");
    FleetConfig::read("f.toml", text).expect("invalid").apply(&mut settings, &mut names);
    let Locality { own_zone, regions } = settings.locality.clone().expect("no locality");
    assert_eq!((own_zone, names.zones.last().map(String::as_str), regions.len()), (Some(1), Some("d"), 5));
    assert_eq!(regions[0], regions[1]);
    let is_alone_in_region =
        |zone: usize| regions.iter().filter(|region| **region == regions[zone]).count() == 1;
    assert!(is_alone_in_region(2) && is_alone_in_region(3) && is_alone_in_region(4), "{regions:?}");
    assert_eq!(settings.validate(), Ok(()));
}
