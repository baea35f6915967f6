use super::*;
use crate::settings::WireSettings;

/// Covers every action, also those that the balancer does not produce at present.
#[test]
fn actions_have_documented_json_form() {
    let settings: WireSettings = serde_json::from_str(
        r#"{"me":0,"balancers":1,"classes":[{"aim":1,"hardLimit":2,"semantics":"safe","points":1}],
                "contract":{"cold":1,"coldFrom":1,"drainGrace":1,"fall":1,"fallMultiple":1,"graceToAnswer":1},
                "discovery":"automatic","limits":{"attemptsCap":1},"tick":1}"#,
    )
    .expect("settings with all required fields");
    let balancer = Balancer::new(convert_settings(settings), 1).expect("valid settings");
    let mut instance =
        BalancerInstance { balancer, ids: BTreeMap::new(), requests: BTreeMap::new(), next_id: 0 };
    let id = instance.add_request("r-ahg8m23");
    let endpoint = EndpointId(51530247);
    let cases = [
        (
            Action::Send { id, endpoint, timeout: Some(80.0) },
            r#"{"RELAY":{"proxy":3,"job":"r-ahg8m23","allowFor":80.0,"host":51530247}}"#,
        ),
        (Action::Cancel { id, attempt: 2 }, r#"{"ABORT_ATTEMPT":{"proxy":3,"job":"r-ahg8m23","leg":2}}"#),
        (
            Action::Reject { id, retry_after: Some(40.0) },
            r#"{"DECLINE":{"proxy":3,"job":"r-ahg8m23","comeBack":40.0}}"#,
        ),
        (Action::Fail { id }, r#"{"DROP_REQUEST":{"proxy":3,"job":"r-ahg8m23"}}"#),
        (
            Action::SetTimer { at: 8912.25, token: 77 },
            r#"{"NOTIFY_ME":{"proxy":3,"alarmTime":8912.25,"mark":77}}"#,
        ),
        (Action::Probe { endpoint }, r#"{"INSPECT":{"proxy":3,"host":51530247}}"#),
        (Action::CloseIdleConnections { endpoint }, r#"{"FREE_LINKS":{"proxy":3,"host":51530247}}"#),
        (
            Action::SendToPeer { to: None, content: b"hi 7".to_vec() },
            r#"{"BROADCAST_TO":{"proxy":3,"to":"all","content":"68692037"}}"#,
        ),
        (
            Action::SendToPeer { to: Some(4), content: vec![255] },
            r#"{"BROADCAST_TO":{"proxy":3,"to":4,"content":"ff"}}"#,
        ),
        (Action::Watch, r#"{"TAIL":{"proxy":3,"active":true}}"#),
        (Action::Fetch, r#"{"LOOKUP":{"proxy":3}}"#),
        (Action::Log("two servers known".into()), r#"{"TRACE":{"proxy":3,"message":"two servers known"}}"#),
    ];
    for (action, expected) in cases {
        let mut reply = Vec::new();
        write_action(3, &mut instance, &action, &mut reply);
        assert_eq!(String::from_utf8(reply).expect("UTF-8"), format!("{expected}\n"));
    }
    assert!(instance.requests.contains_key(&0), "request removed while an attempt is in flight");
}

#[test]
fn hex_encodes_and_decodes() {
    assert_eq!(from_hex("68692037"), Some(b"hi 7".to_vec()));
    assert_eq!(to_hex(b"hi 7"), "68692037");
    for invalid in ["6", "zz", "+1", "é1"] {
        assert_eq!(from_hex(invalid), None, "{invalid}");
    }
}
