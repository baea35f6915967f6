//! System calls of the client proxy fail, are cut short or are interrupted, in the ways that Linux
//! documents.

mod common;

use std::net::TcpListener;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use common::faults::{Faults, Faulty, LONG_DEADLINE_MS, healthy_upstream};
use common::*;
use serde_json::{Value, json};

#[test]
fn requests_survive_short_io_and_interrupted_waits() {
    let body = "0123456789".repeat(1000);
    let ok_response = http_response("200 OK", "", &body);
    let upstream = Upstream::start(move |_| Reply::Send(ok_response.clone()));
    let faulty = Faulty::start(&[&upstream], |_| ());
    faulty.faults.replace_plan(json!({"seed": 7, "rules": [
        {"call": "recv", "short": 100, "probability": 0.5},
        {"call": "send", "short": 100, "probability": 0.5},
        {"call": "writev", "short": 100, "probability": 0.5},
        {"call": "epoll_wait", "error": "EINTR", "probability": 0.3}]}));
    let mut client = faulty.proxy.client();
    for _ in 0..20 {
        let message = client.round_trip(&look_request(LONG_DEADLINE_MS));
        assert_eq!((message.status(), message.body.as_slice()), (200, body.as_bytes()));
    }
    faulty.faults.wait_until_triggered(0, 20);
    faulty.faults.wait_until_triggered(3, 20);
}

/// A write fails after a part of the request. An incomplete request cannot have been run, so even an unsafe
/// one is retried.
#[test]
fn partly_written_request_is_retried_elsewhere() {
    for error in ["ECONNRESET", "EPIPE", "ETIMEDOUT"] {
        let upstreams = [healthy_upstream(), healthy_upstream()];
        let faulty = Faulty::start(&[&upstreams[0], &upstreams[1]], |_| ());
        faulty.faults.replace_plan(json!({"rules": [
            {"call": "send", "short": 20, "count": 1}, {"call": "send", "error": error, "count": 1}]}));
        assert_eq!(
            faulty.proxy.client().round_trip(&post("pay", LONG_DEADLINE_MS, "", "")).status(),
            200,
            "{error}"
        );
        assert_eq!((faulty.faults.trigger_count(0), faulty.faults.trigger_count(1)), (1, 1), "{error}");
        assert_eq!(upstreams.iter().map(Upstream::take_request_count).sum::<usize>(), 1, "{error}");
    }
}

/// One in three calls is interrupted. An interrupted call must be repeated: a connection given up for it
/// would lose its request, and an unsafe request whose response is lost cannot be retried.
#[test]
fn requests_survive_interrupted_reads_and_writes() {
    let body = "0123456789".repeat(1000);
    let ok_response = http_response("200 OK", "", &body);
    for call in ["recv", "send"] {
        let ok_response = ok_response.clone();
        let upstream = Upstream::start(move |_| Reply::Send(ok_response.clone()));
        let faulty = Faulty::start(&[&upstream], |_| ());
        faulty.faults.replace_plan(json!({"seed": 7, "rules": [
            {"call": call, "error": "EINTR", "probability": 0.33}]}));
        let mut client = faulty.proxy.client();
        for _ in 0..20 {
            let message = client.round_trip(&post("pay", LONG_DEADLINE_MS, "", &body));
            assert_eq!(message.status(), 200, "{call}");
            assert!(message.body == body.as_bytes(), "{call}: wrong response body");
        }
        assert!(faulty.faults.trigger_count(0) >= 20, "{call}");
        assert_eq!(upstream.take_request_count(), 20, "{call}");
    }
}

#[test]
fn first_burst_is_served_despite_failing_calls() {
    let upstreams: Vec<Upstream> = (0..8).map(|_| healthy_upstream()).collect();
    let entries = upstreams
        .iter()
        .enumerate()
        .map(|(i, upstream)| endpoint(&format!("h{i}"), upstream.address, "SERVING"));
    let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
    let rule = |call: &str, error: &str| json!({"call": call, "error": error, "probability": 0.33});
    let faults = Faults::new(json!({"seed": 5, "rules": [
        rule("connect", "EADDRNOTAVAIL"), rule("accept4", "ECONNABORTED"), rule("epoll_wait", "EINTR"),
        rule("socket", "EMFILE")]}));
    let proxy = faults.start(&config(discovery_server.address, settings()));
    // So few at once that none is rejected for overload: before anything is known, the limit is 0.7 for
    // each endpoint plus four.
    let mut clients: Vec<Client> = (0..6).map(|_| proxy.client()).collect();
    for _ in 0..3 {
        clients.iter_mut().for_each(|client| client.write(&look_request(LONG_DEADLINE_MS)));
        for client in &mut clients {
            assert_eq!(client.read().expect("no response").status(), 200);
        }
    }
    assert!([0, 1, 3].into_iter().map(|rule| faults.trigger_count(rule)).sum::<u64>() > 0, "no call failed");
}

#[test]
fn request_before_shutdown_survives_connect_errors() {
    let upstream = healthy_upstream();
    let faulty = Faulty::start(&[&upstream], |_| ());
    faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": "ENOBUFS"}]}));
    let mut client = faulty.proxy.client();
    client.write(&post("pay", LONG_DEADLINE_MS, "", ""));
    faulty.faults.wait_until_triggered(0, 3);
    faulty.proxy.terminate();
    faulty.faults.wait_until_triggered(0, 6);
    faulty.faults.replace_plan(json!({}));
    assert_eq!(client.read().expect("no response").status(), 200);
    assert_eq!(upstream.take_request_count(), 1);
}

#[test]
fn locally_delayed_request_leaves_draining_endpoint() {
    let upstreams = [healthy_upstream(), healthy_upstream()];
    let serving = |name: &str, upstream: &Upstream| endpoint(name, upstream.address, "SERVING");
    let discovery_server = DiscoveryServer::start(json!([serving("h0", &upstreams[0])]));
    let faults = Faults::new(json!({}));
    let proxy = faults.start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    faults.replace_plan(json!({"rules": [{"call": "connect", "error": "ENOMEM"}]}));
    let mut client = proxy.client();
    client.write(&post("pay", LONG_DEADLINE_MS, "", ""));
    faults.wait_until_triggered(0, 3);
    discovery_server.publish(
        json!([endpoint("h0", upstreams[0].address, "DRAINING"), serving("h1", &upstreams[1])]),
        true,
    );
    discovery_server.wait_until_list_received();
    faults.replace_plan(json!({}));
    assert_eq!(client.read().expect("no response").status(), 200);
    assert_eq!(upstreams.each_ref().map(Upstream::take_request_count), [0, 1]);
}

#[test]
fn disconnect_during_connect_errors_prevents_attempt() {
    let upstream = healthy_upstream();
    let faulty =
        Faulty::start(&[&upstream], |config| config["settings"]["limits"]["cancelling"] = json!(false));
    faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": "ENOBUFS"}]}));
    let mut client = faulty.proxy.client();
    client.write(&post("pay", LONG_DEADLINE_MS, "", ""));
    faulty.faults.wait_until_triggered(0, 3);
    drop(client);
    std::thread::sleep(Duration::from_millis(300));
    faulty.faults.replace_plan(json!({}));
    assert_eq!(faulty.proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(), 200);
    let (_, message) = upstream.next_request();
    assert!(message.start.starts_with("GET /look"), "{}", message.start);
    assert_eq!(upstream.take_request_count(), 0);
}

#[test]
fn local_dial_error_keeps_current_relay() {
    for (mode, error) in [("automatic", "EMFILE"), ("subscribe", "EADDRNOTAVAIL")] {
        let upstream = healthy_upstream();
        let [near, far] =
            [(), ()].map(|()| DiscoveryServer::start(json!([endpoint("h0", upstream.address, "SERVING")])));
        // No process listens at the discovery address of the platform, which must not be polled.
        let unused_address = TcpListener::bind("127.0.0.1:0")
            .expect("could not bind a loopback port")
            .local_addr()
            .expect("no local address");
        let sources = format!("near = [\"{}\"]\nfar = [\"{}\"]", near.address, far.address);
        let fleet_toml = fleet_config_file(&format!("[discovery]\n{sources}\nauthority = \"shop.lists\""));
        let mut settings = settings();
        settings["discovery"] = json!(mode);
        settings["contract"]["askWithin"] = json!(10_000.0);
        let faults = Faults::new(json!({"rules": [{"call": "connect", "error": error, "count": 3}]}));
        let proxy = faults.start_with(&config(unused_address, settings), |command| {
            command.env("GW_FLEET", fleet_toml.as_path())
        });
        near.next_poll();
        assert_eq!(faults.trigger_count(0), 3);
        assert!(far.polls.try_recv().is_err(), "{mode}: the far relay was polled");
        assert_eq!(proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(), 200);
    }
}

#[test]
fn list_change_received_after_local_errors_end() {
    let upstreams = [healthy_upstream(), healthy_upstream()];
    let discovery_server = DiscoveryServer::start(json!([endpoint("h0", upstreams[0].address, "SERVING")]));
    let faults = Faults::new(json!({}));
    let proxy = faults.start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    faults.replace_plan(json!({"rules": [
        {"call": "connect", "error": "EADDRNOTAVAIL"}, {"call": "recv", "error": "ETIMEDOUT"}]}));
    // The connection to discovery breaks at its next response, and no other can be opened.
    discovery_server.publish(json!([endpoint("h0", upstreams[0].address, "DRAINING")]), false);
    faults.wait_until_triggered(0, 3);
    faults.replace_plan(json!({}));
    discovery_server.publish(json!([endpoint("h1", upstreams[1].address, "SERVING")]), true);
    discovery_server.wait_until_list_received();
    assert_eq!(proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(), 200);
    assert_eq!(upstreams.each_ref().map(Upstream::take_request_count), [0, 1]);
}

fn fleet_config_file(fleet_toml: &str) -> std::path::PathBuf {
    let unique = format!("system-calls-{}.toml", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::write(&path, fleet_toml).expect("could not write the file");
    path
}

#[test]
fn broken_response_is_retried_if_safe() {
    for error in ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"] {
        for (class, status, sent) in [("look", 200, 2), ("pay", 502, 1)] {
            let (upstreams, release): (Vec<Upstream>, Vec<Sender<()>>) =
                [Upstream::with_gated_first_response("yes"), Upstream::with_gated_first_response("yes")]
                    .into_iter()
                    .unzip();
            let faulty = Faulty::start(&upstreams.iter().collect::<Vec<_>>(), |_| ());
            let mut client = faulty.proxy.client();
            client.write(&if class == "look" {
                look_request(LONG_DEADLINE_MS)
            } else {
                post(class, LONG_DEADLINE_MS, "", "")
            });
            let mut request_count = 0;
            let mut count_requests = || {
                request_count += upstreams.iter().map(Upstream::take_request_count).sum::<usize>();
                request_count
            };
            while count_requests() == 0 {
                std::thread::sleep(Duration::from_millis(2));
            }
            faulty.faults.replace_plan(json!({"rules": [{"call": "recv", "error": error, "count": 1}]}));
            release.iter().for_each(|release| release.send(()).expect("an upstream thread has ended"));
            assert_eq!(client.read().expect("no response").status(), status, "{class} {error}");
            assert_eq!((faulty.faults.trigger_count(0), count_requests()), (1, sent), "{class} {error}");
        }
    }
}

#[test]
fn clients_wait_while_accept_fails() {
    for error in ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPERM", "EINTR"] {
        let upstream = healthy_upstream();
        let faulty = Faulty::start(&[&upstream], |_| ());
        faulty.faults.replace_plan(json!({"rules": [{"call": "accept4", "error": error}]}));
        let begun = Instant::now();
        let mut clients: Vec<Client> = (0..4).map(|_| faulty.proxy.client()).collect();
        clients.iter_mut().for_each(|client| client.write(&look_request(LONG_DEADLINE_MS)));
        faulty.faults.wait_until_triggered(0, 5);
        std::thread::sleep(Duration::from_millis(200));
        // Calls at the longest backoff, and 10 more while the backoff grows. It is a lower bound, so a slow
        // machine makes fewer calls.
        let (failed_calls, max_calls) =
            (faulty.faults.trigger_count(0), 10 + begun.elapsed().as_millis() as u64 / 20 * 2);
        assert!(
            failed_calls <= max_calls,
            "{error}: {failed_calls} calls failed, at most {max_calls} expected"
        );
        faulty.faults.replace_plan(json!({}));
        for client in &mut clients {
            assert_eq!(client.read().expect("no response").status(), 200, "{error}");
        }
        // Later clients are accepted too.
        assert_eq!(
            faulty.proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(),
            200,
            "{error}"
        );
    }
}

/// Clients in the accept queue at shutdown must not be lost when some calls to accept fail.
#[test]
fn accept_queue_survives_accept_errors_at_shutdown() {
    let upstream = healthy_upstream();
    let faulty = Faulty::start(&[&upstream], |_| ());
    let mut idle = faulty.proxy.client();
    assert_eq!(idle.round_trip(&look_request(LONG_DEADLINE_MS)).status(), 200);
    faulty.faults.replace_plan(json!({"rules": [{"call": "accept4", "error": "ECONNABORTED"}]}));
    let mut clients: Vec<Client> = (0..4).map(|_| faulty.proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.write(&look_request(LONG_DEADLINE_MS)));
    faulty.faults.wait_until_triggered(0, 2);
    faulty.proxy.terminate();
    // Once idle connections are closed, only clients that are already in the queue are accepted.
    assert!(idle.read_until_closed());
    faulty.faults.replace_plan(json!({"seed": 3, "rules": [
        {"call": "accept4", "error": "ECONNABORTED", "probability": 0.9}]}));
    for client in &mut clients {
        assert_eq!(client.read().map(|message| message.status()), Some(200));
    }
}
