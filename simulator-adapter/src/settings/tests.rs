use super::*;

/// Every setting of the format has a value of its own, so that no two can be confused.
#[test]
fn all_settings_are_converted() {
    let json = r#"{"me":1,"balancers":3,"callers":{"marksRetry":true},
            "classes":[{"aim":500.0,"aimStretch":1.5,"hardLimit":2500.0,"keyScope":"zone","keyTtl":2400.0,
                        "lateWorth":0.25,"name":"a","points":10.0,"semantics":"keyed","streamed":true}],
            "contract":{"askWithin":10000.0,"cold":24000.0,"coldFrom":0.13,"drainGrace":501.0,"fall":1500.0,
                        "fallMultiple":3.0,"graceToAnswer":20.0},
            "countedBy":"work","customers":[{"name":"x","portion":0.22,"quotaPerS":54.0}],
            "discovery":"subscribe","family":"mesh","familyInfo":{"warmKeys":true,"passesDeadline":true},
            "goal":{"whole":0.4,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.15},
            "kinds":["a","b","c"],"layers":["l"],
            "limits":{"attemptsCap":6,"cancelling":true,"connIdle":5000.0,"cpuUsPerRequest":7.0,
                      "cpuUsPerS":757405,"dialTimeout":120.0,"maxOpen":302962,"maxRetryAfter":2000.0,
                      "maxStreams":4,"peerMessages":true,"probes":true,"retryAfter":true,"secondCopies":true},
            "overShareWorth":0.2,
            "prices":{"connection":1.0,"crossZone":2.0,"discovery":3.0,"handshake":4.0,"lateFail":5.0,
                      "moves":0.0,"origin":0.0,"peer":6.0,"probe":7.0,"waste":8.0,"fleet":9.0},
            "report":{"fields":["outstanding","errors_per_s","unheardOf"],"how":"probe"},
            "tick":5.0,"tier":0,"weights":"rough","zone":1,"zones":["p","q"]}"#;
    let settings = convert_settings(serde_json::from_str(json).expect("valid JSON"));
    let expected = Settings {
        balancer_index: 1,
        balancer_count: 3,
        zone: 1,
        zone_count: 2,
        locality: None,
        kind_count: 3,
        classes: vec![Class {
            latency_objective: 500.0,
            objective_stretch: 1.5,
            deadline: 2500.0,
            priority_weight: 10.0,
            late_priority_weight: 0.25,
            effect: Effect::Keyed { scope: KeyScope::Zone, ttl: 2400.0 },
            streamed: true,
        }],
        tenants: vec![Tenant { service_share: 0.22, quota_per_s: 54.0 }],
        over_quota_weight: 0.2,
        weight_by_work: true,
        key_affinity: true,
        clients_mark_retries: true,
        objective_weights: ObjectiveWeights {
            overall: 0.4,
            worst_window: 0.15,
            worst_class: 0.2,
            worst_tenant: 0.25,
        },
        load_reports: LoadReportSettings {
            carried_by: LoadReporting::WithProbes,
            outstanding: true,
            backlog: false,
            utilization: false,
            recent_ms: false,
            throughput: false,
            errors_per_s: true,
        },
        weight_basis: WeightBasis::Approximate,
        discovery_mode: DiscoveryMode::Pull,
        timer_resolution: 5.0,
        limits: Limits {
            max_attempts: 6,
            cancellation: true,
            hedging: true,
            probes: true,
            peer_messages: true,
            retry_after: true,
            max_retry_after: 2000.0,
            connect_timeout: 120.0,
            connection_idle_timeout: 5000.0,
            streams_per_connection: 4,
            max_requests_in_flight: 302_962,
            cpu_us_per_s: 757_405.0,
            cpu_us_per_request: Some(7.0),
        },
        contract: Contract {
            response_grace: 20.0,
            drain_grace: 501.0,
            initial_capacity: 0.13,
            warm_up: 24000.0,
            overload_multiple: 3.0,
            overload_window: 1500.0,
            max_notification_delay: Some(10000.0),
        },
        prices: Prices {
            cross_zone: 2.0,
            waste: 8.0,
            late_failure: 5.0,
            handshake: 4.0,
            connection: 1.0,
            discovery: 3.0,
            probe: 7.0,
            peer_message: 6.0,
        },
    };
    assert_eq!(settings, expected);
    for (name, expected) in
        [("none", WeightBasis::Equal), ("nominal", WeightBasis::Nominal), ("live", WeightBasis::LoadAdjusted)]
    {
        let json = json.replace(r#""weights":"rough""#, &format!(r#""weights":"{name}""#));
        assert_eq!(convert_settings(serde_json::from_str(&json).expect("valid JSON")).weight_basis, expected);
    }
    for (name, expected) in [("none", LoadReporting::Never), ("answers", LoadReporting::WithResponses)] {
        let json = json.replace(r#""how":"probe""#, &format!(r#""how":"{name}""#));
        assert_eq!(
            convert_settings(serde_json::from_str(&json).expect("valid JSON")).load_reports.carried_by,
            expected
        );
    }
}
