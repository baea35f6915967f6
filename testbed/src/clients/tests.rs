use super::*;

fn bundled_scenario(name: &str) -> Scenario {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name);
    Scenario::read(&path).expect("scenario file of the testbed")
}

/// The same seed gives the same arrivals, so that a run can be repeated, and another seed gives others.
/// Rates, bursts and the mean work are those of the scenario.
#[test]
fn seeded_arrivals_match_configured_rate() {
    let burst = bundled_scenario("burst.toml");
    let all = arrivals(&burst, 3);
    assert_eq!(all, arrivals(&burst, 3));
    assert_ne!(all, arrivals(&burst, 4));
    assert!(all.is_sorted_by(|a, b| a.at <= b.at));
    let within = |from: f64, to: f64| all.iter().filter(|a| (from..to).contains(&a.at)).count() as f64;
    // 400 per second, and 1.5 times as many from 5 s to 9 s. The tolerance is four standard deviations.
    for (count, mean) in [(within(0.0, 5.0), 2000.0_f64), (within(5.0, 9.0), 2400.0)] {
        assert!((count - mean).abs() < 4.0 * mean.sqrt(), "{count} arrivals, expected {mean}");
    }
    let mean = all.iter().filter(|a| a.class == 0).map(|a| a.work).sum::<f64>()
        / all.iter().filter(|a| a.class == 0).count() as f64;
    assert!((mean / 0.008 - 1.0).abs() < 0.05, "{mean}");
}
