//! Start and end of the program.

mod common;

use std::io::Read;
use std::sync::Arc;
use std::sync::mpsc::channel;

use common::*;
use serde_json::{Value, json};

/// A planned restart must lose no request: admitted ones are answered, clients that still connect are
/// served, and the exit status is 0.
#[test]
fn sigterm_answers_admitted_requests() {
    let (release, gate) = channel::<()>();
    let gate = Arc::new(std::sync::Mutex::new(gate));
    let upstream = Upstream::start(move |n| {
        if n == 0 {
            let _ = gate.lock().expect("another thread panicked").recv();
        }
        Reply::Send(http_response("200 OK", "", "done"))
    });
    let (mut proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut waiting = proxy.client();
    waiting.write(&look_request(3900));
    upstream.next_request();
    proxy.terminate();
    assert_eq!(proxy.client().round_trip(&look_request(3900)).body, b"done");
    release.send(()).expect("the upstream thread has ended");
    assert_eq!(waiting.read().expect("no response").body, b"done");
    // The connection stays open until it is idle and is closed then.
    assert!(waiting.read().is_none());
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// An invalid configuration ends the program with one log line that names the field, before it listens.
#[test]
fn invalid_configuration_fails_at_start() {
    let good = config("127.0.0.1:9".parse().expect("invalid address"), settings());
    type Corrupt = fn(&mut Value);
    let cases: [(&str, Corrupt); 10] = [
        ("listen", |c| c["listen"] = json!("here")),
        ("admin_addr", |c| c["admin_addr"] = json!("9901")),
        ("discovery", |c| c["discovery"] = Value::Null),
        ("seed", |c| c["seed"] = json!("none")),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!(8)),
        ("settings.limits.attemptsCap", |c| c["settings"]["limits"]["attemptsCap"] = json!("three")),
        ("limits.attempts", |c| c["settings"]["limits"]["attemptsCap"] = json!(0)),
        ("settings.classes[1].name", |c| c["settings"]["classes"][1]["name"] = json!("")),
        ("classes[0].aim", |c| c["settings"]["classes"][0]["aim"] = json!(-1.0)),
        ("settings.classes", |c| c["settings"]["classes"][0]["streamed"] = json!(true)),
    ];
    for (field, corrupt) in cases {
        let mut bad = good.clone();
        corrupt(&mut bad);
        let output = spawn(&bad).wait_with_output().expect("could not wait for the process");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{field}: {stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(field), "{field}: {stderr}");
    }
    // An address that is already in use, as by a process that still runs.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    for field in ["GW_LISTEN", "admin_addr"] {
        let mut bad = good.clone();
        let name = if field == "admin_addr" { field } else { "listen" };
        bad[name] = json!(listener.local_addr().expect("no local address").to_string());
        let output = spawn(&bad).wait_with_output().expect("could not wait for the process");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{field}: {stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(field), "{field}: {stderr}");
    }
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_client-proxy"))
        .env_remove("GW_CONFIG")
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("could not start the program");
    let mut stderr = String::new();
    child
        .stderr
        .take()
        .expect("stderr is not piped")
        .read_to_string(&mut stderr)
        .expect("stderr is not UTF-8");
    assert_eq!(stderr, "client-proxy: GW_CONFIG is not set\n");
    assert_eq!(child.wait().expect("could not wait for the process").code(), Some(2));
}

/// Required settings must not be replaced by defaults: a missing one ends the start with its name. Unknown
/// settings are ignored.
#[test]
fn missing_settings_fail_unknown_are_ignored() {
    let good = config("127.0.0.1:9".parse().expect("invalid address"), settings());
    let absent = |path: &[&str]| {
        let mut bad = good["settings"].clone();
        let (last, groups) = path.split_last().expect("missing field");
        let group = groups.iter().fold(&mut bad, |value, name| match name.parse::<usize>() {
            Ok(index) => &mut value[index],
            Err(_) => &mut value[*name],
        });
        group.as_object_mut().expect("not an object").remove(*last).expect("missing field");
        bad
    };
    for path in [
        ["contract", "drainGrace"].as_slice(),
        &["contract", "cold"],
        &["contract", "coldFrom"],
        &["contract", "fall"],
        &["contract", "fallMultiple"],
        &["classes", "0", "hardLimit"],
        &["classes", "1", "semantics"],
        &["discovery"],
        &["limits", "attemptsCap"],
        &["balancers"],
        &["me"],
    ] {
        let bad = config("127.0.0.1:9".parse().expect("invalid address"), absent(path));
        let output = spawn(&bad).wait_with_output().expect("could not wait for the process");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{path:?}: {stderr}");
        let field = path.last().expect("missing field");
        assert!(stderr.lines().count() == 1 && stderr.contains(field), "{path:?}: {stderr}");
    }
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut settings = settings();
    settings["aFieldOfTomorrow"] = json!({"deep": [1, 2]});
    settings["limits"]["another"] = json!("yes");
    let proxy = Proxy::start(&config(discovery_server.address, settings));
    discovery_server.wait_until_list_received();
    assert_eq!(proxy.client().round_trip(&look_request(3000)).body, b"done");
}

/// At SIGTERM a request may be in the accept queue, half sent, on an idle connection, or at an upstream
/// that never responds. None may be lost, and a second SIGTERM changes nothing.
#[test]
fn sigterm_loses_no_request_in_any_state() {
    let upstream =
        Upstream::start(
            |n| if n == 0 { Reply::Stall } else { Reply::Send(http_response("200 OK", "", "done")) },
        );
    let (mut proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut hung = proxy.client();
    hung.write(&post("pay", 1500, "", ""));
    upstream.next_request();
    let mut idle = proxy.client();
    assert_eq!(idle.round_trip(&post("pay", 3000, "", "")).body, b"done");
    let (begun, other, rest) = (post("pay", 3000, "", "ab"), post("pay", 3000, "", "ab"), 20);
    let mut half = proxy.client();
    half.write(&begun[..begun.len() - rest]);
    let mut missing_last_byte = proxy.client();
    missing_last_byte.write(&other[..other.len() - 1]);
    proxy.terminate();
    proxy.terminate();
    let mut queued: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    queued.iter_mut().for_each(|client| client.write(&post("pay", 3000, "", "")));
    half.write(&begun[begun.len() - rest..]);
    missing_last_byte.write(&other[other.len() - 1..]);
    idle.write(&post("pay", 3000, "", ""));
    let mut sent = 2;
    for client in queued.iter_mut().chain([&mut half, &mut missing_last_byte, &mut idle]) {
        let response = client.read().expect("no response");
        // So many at once may be more than one upstream is given: a rejected request was not forwarded.
        assert!(matches!(response.status(), 200 | 503), "{}", response.start);
        sent += usize::from(response.status() == 200);
        assert!(client.read().is_none(), "the connection was not closed when idle");
    }
    // The stalled request ends in time, and then the process.
    assert_eq!(hung.read().expect("no response").status(), 502);
    assert!(proxy.child.wait().expect("could not wait for the process").success());
    // The stalled request was counted before.
    assert_eq!(1 + upstream.take_request_count(), sent, "each request was forwarded once");
}

/// A request that has begun to arrive when idle connections are closed is read to its end and answered.
#[test]
fn partial_request_is_awaited_at_idle_close() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let (mut proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let complete = || post("pay", 3000, "", "ab");
    let mut idle = proxy.client();
    assert_eq!(idle.round_trip(&complete()).body, b"done");
    // Cut in the request line, in the head and in the body; on a new connection and on a used one.
    let parts = [3, 60, complete().len() - 1].into_iter().flat_map(|part| [(part, false), (part, true)]);
    let mut halves: Vec<(Client, String, usize)> = parts
        .map(|(part, used)| {
            let mut client = proxy.client();
            if used {
                assert_eq!(client.round_trip(&complete()).body, b"done");
            }
            let request = complete();
            client.write(&request[..part]);
            (client, request, part)
        })
        .collect();
    proxy.terminate();
    assert!(idle.read().is_none(), "idle connections are not closed yet");
    for (client, request, part) in &mut halves {
        client.write(&request[*part..]);
        assert_eq!(client.read().expect("no response").body, b"done", "after {part} bytes");
    }
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// Clients write requests on idle connections while these are being closed. A request that is read after
/// the connection has been shut down could be forwarded with nobody to answer. Each request must either be
/// answered or never be forwarded.
#[test]
fn request_crossing_close_is_answered_or_unsent() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let (mut proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let clients: Vec<Client> = (0..16).map(|_| proxy.client()).collect();
    proxy.terminate();
    let threads: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || {
                use std::io::Write;
                let mut answered = 0;
                // Sends until the connection is closed: the last request crosses the close.
                while client.stream.write_all(post("pay", 3000, "", "").as_bytes()).is_ok()
                    && let Some(message) = client.read()
                {
                    // A request that is rejected, as in a burst, was not forwarded.
                    assert!(matches!(message.status(), 200 | 503), "{}", message.start);
                    answered += usize::from(message.status() == 200);
                }
                answered
            })
        })
        .collect();
    let answered: usize =
        threads.into_iter().map(|thread| thread.join().expect("another thread panicked")).sum();
    assert!(proxy.child.wait().expect("could not wait for the process").success());
    assert_eq!(upstream.take_request_count(), answered);
}

#[test]
fn sigterm_before_first_list_exits_at_once() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let mut proxy = Proxy::start(&config(closed, settings()));
    let mut client = proxy.client();
    client.write(&look_request(600));
    proxy.terminate();
    assert_eq!(client.read().expect("no response").status(), 503);
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// Idle clients may fill all descriptors for clients while discovery is down. Discovery, operators and
/// `/ready` must still be served, and requests too once discovery is back.
#[test]
fn idle_clients_filling_descriptors_block_nothing_else() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let discovery_address = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let mut config = config(discovery_address, settings());
    config["limits"]["sockets"] = json!(64);
    config["admin_addr"] = json!("127.0.0.1:0");
    let proxy = Proxy::start(&config);
    // As many as are accepted and as wait in the queue; each reconnects when it is disconnected.
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let idle: Vec<_> = (0..45)
        .map(|_| {
            let (stop, address) = (Arc::clone(&stop), proxy.address);
            std::thread::spawn(move || {
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    Client::new(address).read_until_closed();
                }
            })
        })
        .collect();
    assert!(proxy.admin_command("PING").starts_with("-ERR"), "the program reported ready without a list");
    assert_eq!(proxy.client().round_trip(READY_REQUEST).status(), 503);
    let discovery_server =
        DiscoveryServer::start_at(discovery_address, json!([endpoint("h", upstream.address, "SERVING")]));
    discovery_server.wait_until_list_received();
    assert!(proxy.admin_command("PING").starts_with("+OK"));
    assert_eq!(proxy.client().round_trip(&look_request(10_000)).body, b"done");
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    idle.into_iter().for_each(|thread| thread.join().expect("another thread panicked"));
}

/// The limit on descriptors counts all of them: beside as many clients, endpoints and operators as are
/// admitted also the standard streams, listeners, the runtime, signals and discovery.
#[test]
fn open_descriptors_stay_within_the_limit() {
    const LIMIT: usize = 64;
    let upstream = Upstream::start(|_| Reply::Stall);
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    config["limits"]["sockets"] = json!(LIMIT);
    config["admin_addr"] = json!("127.0.0.1:0");
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("the process has ended").count()
    };
    let mut busy: Vec<Client> = (0..6).map(|_| proxy.client()).collect();
    for client in &mut busy {
        client.write(&post("pay", 15_000, "", ""));
        upstream.next_request();
    }
    let _idle: Vec<Client> = (0..60).map(|_| proxy.client()).collect();
    let _operators: Vec<_> = (0..15).map(|_| proxy.admin_connection()).collect();
    // The replies show that all connections have been accepted that are admitted.
    for _ in 0..3 {
        assert!(proxy.admin_command("PING").starts_with("+OK"));
    }
    assert!(open_descriptors() <= LIMIT, "{} descriptors", open_descriptors());
}

/// After a kill, connections of the old process stay in TIME_WAIT for a minute. They must not keep a new
/// process from listening on the same address.
#[test]
fn killed_process_does_not_block_its_address() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    let mut proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    assert_eq!(client.round_trip(&look_request(3000)).body, b"done");
    config["listen"] = json!(proxy.address.to_string());
    proxy.child.kill().expect("the process has ended");
    proxy.child.wait().expect("could not wait for the process");
    // The side that closes first keeps the connection in TIME_WAIT, and it gets there only once the client
    // has closed too.
    assert!(client.read_until_closed());
    drop(client);
    let proxy = Proxy::start(&config);
    assert_eq!(proxy.client().round_trip(&look_request(3000)).body, b"done");
}
