//! Tests of the simulator protocol: for given messages, the exact lines of the reply. The expected lines are
//! written by hand from the description of the protocol.

use std::io::Write;
use std::process::{Command, Stdio};

struct AdapterOutput {
    stdout: String,
    stderr: String,
    success: bool,
}

/// Runs the adapter with these input lines until it exits.
fn run_adapter(lines: &[&str]) -> AdapterOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    let mut stdin = child.stdin.take().expect("piped");
    // After an invalid message the adapter exits without reading the rest, so the write may fail.
    let _ = stdin.write_all((lines.join("\n") + "\n").as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("failed to wait for the adapter");
    AdapterOutput {
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        success: output.status.success(),
    }
}

const TURN: &str = r#"{"TURN":{"time":1000.0}}"#;
const YOUR_TURN: &str = r#"{"YOUR_TURN":{}}"#;
const POOL: &str = r#"{"POOL":{"rosterId":0,"rows":[{"host":51530247,"rackZone":0,"machine":0,"weight":1,"phase":"up","block":0}]}}"#;
const POOL_OF_OTHER_ENDPOINT: &str = r#"{"POOL":{"rosterId":0,"rows":[{"host":747639282,"rackZone":0,"machine":0,"weight":1.5,"launched":100.0,"phase":"up","block":0}]}}"#;

fn up(proxy: u32, discovery: &str) -> String {
    up_with_fields(proxy, discovery, r#""me":0"#)
}

fn up_with_fields(proxy: u32, discovery: &str, fields: &str) -> String {
    format!(
        r#"{{"UP":{{"proxy":{proxy},"prng":7,"settings":{{"balancers":2,"callers":{{"marksRetry":false}},"classes":[{{"aim":200.0,"hardLimit":800.0,"lateWorth":0.25,"name":"a","points":1.0,"semantics":"safe","streamed":false}},{{"aim":200.0,"hardLimit":800.0,"name":"b","points":4.0,"semantics":"unsafe"}},{{"aim":200.0,"hardLimit":800.0,"keyScope":"cell","keyTtl":900.0,"lateWorth":0,"name":"c","points":4.0,"semantics":"keyed","streamed":true}}],"contract":{{"askWithin":10000.0,"cold":8800.0,"coldFrom":0.32,"drainGrace":250.0,"fall":2000.0,"fallMultiple":3.0,"graceToAnswer":16.0}},"countedBy":"request","customers":[{{"name":"x","portion":1.0,"quotaPerS":191.0}}],"discovery":"{discovery}","family":"mesh","familyInfo":{{"warmKeys":true}},"goal":{{"whole":1}},"kinds":["k"],"layers":["l"],"limits":{{"attemptsCap":3,"cancelling":true,"connIdle":1.0,"cpuUsPerRequest":0,"cpuUsPerS":8000,"dialTimeout":100.0,"maxOpen":2000,"maxRetryAfter":1200.0,"maxStreams":1,"peerMessages":true,"probes":true,"retryAfter":true,"secondCopies":true}},{fields},"overShareWorth":0.05,"prices":{{"crossZone":0.1,"waste":0.15}},"report":{{"fields":["utilization"],"how":"answers"}},"tick":4.0,"tier":0,"weights":"nominal","zone":0,"zones":["z"],"aNewKey":[1,2]}}}}}}"#
    )
}

fn view(proxy: u32, form: &str) -> String {
    format!(r#"{{"VIEW":{{"proxy":{proxy},"rosterId":0,"epoch":41,"form":"{form}"}}}}"#)
}

fn inbound(proxy: u32, job: &str, class: u32) -> String {
    format!(r#"{{"INBOUND":{{"proxy":{proxy},"job":"{job}","patienceLeft":240.0,"band":{class}}}}}"#)
}

/// The lines of each reply. Timer requests are omitted, since their number and times depend on the balancer's
/// internals.
fn replies(output: &AdapterOutput) -> Vec<Vec<String>> {
    assert!(output.success, "{}", output.stderr);
    let mut replies = vec![Vec::new()];
    for line in output.stdout.lines() {
        if line == r#"{"EOR":{}}"# {
            replies.push(Vec::new());
        } else if !line.starts_with(r#"{"NOTIFY_ME":"#) {
            replies.last_mut().expect("never empty").push(line.to_owned());
        }
    }
    assert_eq!(replies.pop(), Some(Vec::new()), "output ends with an incomplete reply");
    replies
}

#[test]
fn empty_batch_gets_empty_reply() {
    let output = run_adapter(&[r#"{"TURN":{"time":8412.25}}"#, YOUR_TURN]);
    assert!(output.success);
    assert_eq!(output.stdout, "{\"EOR\":{}}\n");
}

#[test]
fn request_is_sent_and_completed() {
    let (up, view) = (up(3, "automatic"), view(3, "Persisted"));
    let served = r#"{"FINISHED":{"proxy":3,"job":"r-brwyere","leg":0,"host":51530247,"how":0,"latency":18.5,"terminal":true,"metrics":{"utilization":0.62,"somethingNew":3}}}"#;
    let request = r#"{"INBOUND":{"proxy":3,"job":"r-brwyere","isRetry":true,"update":true,"patienceLeft":240.0,"band":0,"sizeHint":12.0,"owner":0,"targetKey":"user:kd6b5sum7ecwe"}}"#;
    let lines =
        [TURN, &up, POOL, &view, request, YOUR_TURN, r#"{"TURN":{"time":1020.0}}"#, served, YOUR_TURN];
    let output = run_adapter(&lines);
    let relay = r#"{"RELAY":{"proxy":3,"job":"r-brwyere","host":51530247}}"#;
    assert_eq!(replies(&output), [vec![relay.to_owned()], vec![]]);
}

#[test]
fn timers_have_absolute_times() {
    let output = run_adapter(&[TURN, &up(3, "automatic"), POOL, &view(3, "Persisted"), YOUR_TURN]);
    assert_eq!(
        output.stdout,
        "{\"NOTIFY_ME\":{\"proxy\":3,\"alarmTime\":1100.0,\"mark\":1}}\n{\"EOR\":{}}\n"
    );
    let unknown_timer = [
        TURN,
        &up(3, "automatic"),
        YOUR_TURN,
        r#"{"TURN":{"time":1100.0}}"#,
        r#"{"REMINDER":{"proxy":3,"mark":1}}"#,
    ];
    let lines: Vec<&str> = unknown_timer.into_iter().chain([YOUR_TURN]).collect();
    assert!(run_adapter(&lines).success, "adapter failed on an unknown timer token");
}

#[test]
fn attempt_outcome_determines_next_action() {
    let setup = [TURN.to_owned(), up(3, "automatic"), POOL.to_owned(), view(3, "Persisted")];
    let attempt_end = |status_code: u32| {
        format!(
            r#"{{"FINISHED":{{"proxy":3,"job":"r-x","leg":0,"host":51530247,"how":{status_code},"latency":5.0}}}}"#
        )
    };
    let last_reply = |class: u32, messages: &[String]| {
        let mut lines: Vec<String> = setup.to_vec();
        lines.extend([
            inbound(3, "r-x", class),
            YOUR_TURN.to_owned(),
            r#"{"TURN":{"time":1005.0}}"#.to_owned(),
        ]);
        lines.extend(messages.iter().cloned());
        lines.push(YOUR_TURN.to_owned());
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        replies(&run_adapter(&lines)).pop().expect("at least one reply")
    };
    // An unsafe request that may have run, by a known or an unknown status code, fails.
    for status_code in [13, 4, 10, 1, 77] {
        assert_eq!(
            last_reply(1, &[attempt_end(status_code)]),
            [r#"{"DROP_REQUEST":{"proxy":3,"job":"r-x"}}"#],
            "status code {status_code}"
        );
    }
    // An unsafe request that did not run is retried, here on the only endpoint.
    for status_code in [8, 14, 9] {
        assert_eq!(
            last_reply(1, &[attempt_end(status_code)]),
            [r#"{"RELAY":{"proxy":3,"job":"r-x","host":51530247}}"#],
            "status code {status_code}"
        );
    }
    // The client has disconnected: the attempt in flight is cancelled, and nothing follows when it ends.
    let disconnected = r#"{"VANISHED":{"proxy":3,"job":"r-x"}}"#.to_owned();
    assert_eq!(
        last_reply(0, std::slice::from_ref(&disconnected)),
        [r#"{"ABORT_ATTEMPT":{"proxy":3,"job":"r-x","leg":0}}"#]
    );
    assert_eq!(
        last_reply(
            0,
            &[disconnected, attempt_end(1).replace("\"latency\"", "\"terminal\":true,\"latency\"")]
        ),
        [r#"{"ABORT_ATTEMPT":{"proxy":3,"job":"r-x","leg":0}}"#]
    );
    // A class that is not in the settings is rejected.
    let mut lines: Vec<String> = setup.to_vec();
    lines.extend([inbound(3, "r-y", 9), YOUR_TURN.to_owned()]);
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    assert_eq!(replies(&run_adapter(&lines)), [[r#"{"DECLINE":{"proxy":3,"job":"r-y"}}"#]]);
}

#[test]
fn stream_probe_and_peer_messages_are_accepted() {
    let (up, view) = (up(3, "automatic"), view(3, "Persisted"));
    let request = inbound(3, "r-s", 2);
    let lines = [
        TURN,
        &up,
        POOL,
        &view,
        &request,
        YOUR_TURN,
        r#"{"TURN":{"time":1010.0}}"#,
        r#"{"FIRST_BYTE":{"proxy":3,"job":"r-s","latency":10.0,"leg":0,"host":51530247}}"#,
        r#"{"ECHO":{"proxy":3,"host":51530247,"how":0,"latency":1.5,"metrics":{"backlog":3}}}"#,
        r#"{"DATAGRAM":{"proxy":3,"src":1,"content":"68692037"}}"#,
        YOUR_TURN,
        r#"{"TURN":{"time":9010.0}}"#,
        r#"{"FINISHED":{"proxy":3,"job":"r-s","leg":0,"host":51530247,"how":10,"latency":8000.0,"terminal":true}}"#,
        YOUR_TURN,
    ];
    assert_eq!(replies(&run_adapter(&lines))[1..], [Vec::<String>::new(), Vec::new()]);
}

#[test]
fn subscriber_watches_discovery_once() {
    let (up, view) = (up(4, "subscribe"), view(4, "Persisted"));
    let failed = r#"{"VIEW":{"proxy":4,"epoch":0,"form":"Error"}}"#;
    let output = run_adapter(&[TURN, &up, POOL, &view, failed, YOUR_TURN]);
    assert_eq!(replies(&output), [[r#"{"TAIL":{"proxy":4,"active":true}}"#]]);
}

#[test]
fn list_id_can_be_reused_within_batch() {
    let (up, first, second) = (up(3, "automatic"), view(3, "Persisted"), view(3, "Complete"));
    let (before, after) = (inbound(3, "r-1", 0), inbound(3, "r-2", 0));
    let lines = [TURN, &up, POOL, &first, &before, POOL_OF_OTHER_ENDPOINT, &second, &after, YOUR_TURN];
    // The endpoint of the second list started 900 ms ago: it is in slow start and has no budget yet. The
    // second request waits for it; it is not sent to the endpoint that was removed.
    assert_eq!(replies(&run_adapter(&lines)), [[r#"{"RELAY":{"proxy":3,"job":"r-1","host":51530247}}"#]]);
    let warmed_up = POOL_OF_OTHER_ENDPOINT.replace("100.0", "0");
    let lines = [TURN, &up, POOL, &first, &before, &warmed_up, &second, &after, YOUR_TURN];
    let relays = [
        r#"{"RELAY":{"proxy":3,"job":"r-1","host":51530247}}"#,
        r#"{"RELAY":{"proxy":3,"job":"r-2","host":747639282}}"#,
    ];
    assert_eq!(replies(&run_adapter(&lines)), [relays]);
}

#[test]
fn duplicate_and_unknown_requests_are_ignored() {
    let (up, view) = (up(3, "automatic"), view(3, "Persisted"));
    let (request, destroy) = (inbound(3, "r-1", 0), r#"{"DESTROY":{"proxy":3}}"#);
    let unknown = r#"{"VANISHED":{"proxy":3,"job":"r-0"}}"#;
    // An unknown client disconnects, a request arrives twice, and a balancer is restarted within one batch.
    let lines =
        [TURN, &up, POOL, &view, unknown, &request, &request, destroy, &up, &view, &request, YOUR_TURN];
    let relay = r#"{"RELAY":{"proxy":3,"job":"r-1","host":51530247}}"#.to_owned();
    assert_eq!(replies(&run_adapter(&lines)), [vec![relay.clone(), relay]]);
}

#[test]
fn balancers_are_isolated_and_restart_empty() {
    let (up3, up5, view3, view5) =
        (up(3, "automatic"), up(5, "automatic"), view(3, "Persisted"), view(5, "Persisted"));
    let (request3, request5) = (inbound(3, "r-1", 0), inbound(5, "r-1", 0));
    let lines = [
        TURN,
        &up3,
        POOL,
        &view3,
        &up5,
        &view5,
        &request3,
        &request5,
        YOUR_TURN,
        r#"{"TURN":{"time":1010.0}}"#,
        r#"{"DESTROY":{"proxy":3}}"#,
        &up3,
        &view3,
        // The end of an attempt of the stopped balancer: its successor does not know the request.
        r#"{"FINISHED":{"proxy":3,"job":"r-1","leg":0,"host":51530247,"how":10,"latency":10.0}}"#,
        r#"{"FINISHED":{"proxy":5,"job":"r-1","leg":0,"host":51530247,"how":14,"latency":10.0}}"#,
        YOUR_TURN,
    ];
    let relay = |proxy: u32| format!(r#"{{"RELAY":{{"proxy":{proxy},"job":"r-1","host":51530247}}}}"#);
    assert_eq!(replies(&run_adapter(&lines)), [vec![relay(3), relay(5)], vec![relay(5)]]);
}

#[test]
fn invalid_settings_are_reported_as_broken() {
    let invalid = up(3, "automatic").replace("\"zone\":0,", "\"zone\":8,");
    let output = run_adapter(&[TURN, &invalid, YOUR_TURN]);
    let broken = r#"{"BROKEN":{"proxy":3,"message":"settings: zone is not among the zones"}}"#;
    assert_eq!(replies(&output), [[broken]]);
}

#[test]
fn invalid_message_exits_with_one_error_line() {
    let up = up(3, "automatic");
    let cases: [(&[&str], &str); 9] = [
        (&[TURN, TURN], "line 2: TURN before the end of the previous batch"),
        (&[YOUR_TURN], "line 1: message outside a batch: expected TURN first"),
        (&[TURN, "no json"], "line 2: "),
        (&[TURN, r#"{"WHATEVER":{}}"#], "line 2: unknown variant `WHATEVER`"),
        (&[TURN, r#"{"REMINDER":{"proxy":3}}"#], "line 2: missing field `mark` at column 23"),
        (&[TURN, r#"{"REMINDER":{"proxy":3,"mark":1}}"#], "line 2: balancer 3 is not running"),
        (&[TURN, r#"{"DESTROY":{"proxy":3}}"#], "line 2: balancer 3 is not running"),
        (&[r#"{"REMINDER":{"proxy":3,"mark":1}}"#], "line 1: message outside a batch: expected TURN first"),
        (
            &[TURN, &up, r#"{"VIEW":{"proxy":3,"rosterId":6,"epoch":1,"form":"Complete"}}"#],
            "line 3: endpoint list 6",
        ),
    ];
    for (lines, problem) in cases {
        let output = run_adapter(lines);
        assert!(!output.success, "{problem}");
        assert!(output.stderr.contains(problem), "{:?} does not contain {problem:?}", output.stderr);
        assert_eq!(output.stderr.lines().count(), 1, "{}", output.stderr);
        assert_eq!(output.stdout, "", "error on standard output, which carries replies only");
    }
}

#[test]
fn unknown_fields_are_ignored() {
    let output =
        run_adapter(&[r#"{"TURN":{"time":1.0,"phaseOfTheMoon":"full"}}"#, r#"{"YOUR_TURN":{"x":[1]}}"#]);
    assert!(output.success);
    assert_eq!(output.stderr, "");
}
