//! Faults elsewhere must not leave a request without its final response while the process ends: memory or
//! descriptors that others fill, a discovery that is down, requests that come late or with little time
//! left. Every request that was read is answered before SIGKILL.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::termination::*;
use common::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Other requests take all memory for buffered bodies from before SIGTERM to the kill. A request that waits
/// for memory would still be waiting at SIGKILL.
#[test]
fn requests_waiting_for_memory_are_answered() {
    let sink = Sink::start("");
    let (proxy, hung, _discovery) = with_little_memory(&sink);
    let holders = fill_memory(&proxy, &sink);
    let waiting = || {
        let mut client = proxy.client();
        client.write(&post("pay", DEADLINE_MS, "", &"x".repeat(2000)));
        client
    };
    let before = waiting();
    let mut during = proxy.client();
    wait_until_processed(&proxy);
    let terminating = TerminatingProxy::start(proxy, hung);
    during.write(&post("pay", DEADLINE_MS, "", &"x".repeat(2000)));
    let is_read = terminating.is_before_idle_close();
    terminating.kill();
    assert_eq!(assert_final_responses(&before, 1, "waited for memory"), [503]);
    if is_read {
        assert_eq!(assert_final_responses(&during, 1, "waited for memory"), [503]);
    }
    for holder in &holders {
        assert_eq!(assert_final_responses(holder, 1, "holds memory"), [502]);
    }
}

/// The same where other requests take all memory for streamed bodies and never stop sending.
#[test]
fn long_bodies_waiting_for_memory_are_answered() {
    let sink = Sink::start("");
    let (proxy, hung, _discovery) = with_little_memory(&sink);
    let endless =
        || post("pay", DEADLINE_MS, "", "").replace("Content-Length: 0", "Content-Length: 1000000000");
    let holders: Vec<Client> = (0..5)
        .map(|_| {
            let mut holder = proxy.client();
            holder.write(&endless());
            let holder_stream = holder.stream.try_clone().expect("could not clone the socket");
            std::thread::spawn(move || trickle(&holder_stream, &"x".repeat(THRESHOLD_BYTES + 32 * 1024)));
            sink.wait_until_threshold();
            holder
        })
        .collect();
    let mut waiting: Vec<Client> = (0..2).map(|_| proxy.client()).collect();
    waiting.iter_mut().for_each(|client| client.write(&post("pay", DEADLINE_MS, "", &"x".repeat(100_000))));
    wait_until_processed(&proxy);
    assert_eq!(sink.heads.try_iter().count(), holders.len(), "the requests did not wait for memory");
    TerminatingProxy::start(proxy, hung).kill();
    for client in &waiting {
        assert_final_responses(client, 1, "waits for memory");
    }
}

/// The same where endless responses to other requests take all memory for streamed responses.
#[test]
fn responses_waiting_for_memory_are_abandoned() {
    let sink = Sink::start(ENDLESS_RESPONSE_HEAD);
    let (proxy, hung, _discovery) = with_little_memory(&sink);
    let clients = |count: usize| {
        let mut clients: Vec<Client> = (0..count).map(|_| proxy.client()).collect();
        for client in &mut clients {
            client.write(&look_request(DEADLINE_MS));
            sink.wait_for_head();
        }
        clients
    };
    let holders = clients(5);
    for holder in &holders {
        // Its response has begun, so it has its part of the memory.
        wait_until_response_begins(holder);
    }
    let waiting = clients(2);
    TerminatingProxy::start(proxy, hung).kill();
    for client in &waiting {
        assert_eq!(assert_final_responses(client, 1, "its response waits for memory"), [502]);
    }
}

/// A request may come late on a connection that stayed open after idle ones were closed: behind a stalled
/// request, behind one that is being answered, or as the second part of one that began earlier. It would be
/// unanswered at SIGKILL.
#[test]
fn late_requests_are_answered_before_the_kill() {
    const LATE_CLIENTS: usize = 11;
    let (release, gate) = channel::<()>();
    let (gate, count) = (Mutex::new(gate), Arc::new(AtomicUsize::new(0)));
    let counted = Arc::clone(&count);
    // The very first request stalls, and so do those behind the first ones of each connection.
    let upstream = Upstream::start(move |_| match counted.fetch_add(1, Ordering::SeqCst) {
        1..=LATE_CLIENTS => {
            let _ = gate.lock().expect("another thread panicked").recv();
            Reply::Send(http_response("200 OK", "", "done"))
        }
        _ => Reply::Stall,
    });
    let discovery_server = DiscoveryServer::start(eight_endpoints_at(upstream.address));
    let proxy = start_proxy(discovery_server.address, |_| {});
    discovery_server.wait_until_list_received();
    let client_sending = |text: &str| {
        let mut client = proxy.client();
        client.write(text);
        client
    };
    let wait_until_forwarded = |requests: usize| {
        let begun = Instant::now();
        while count.load(Ordering::SeqCst) < requests {
            assert!(begun.elapsed() < TEST_TIMEOUT, "{} forwarded", count.load(Ordering::SeqCst));
            std::thread::yield_now();
        }
    };
    let mut forwarded_in_order = 0;
    let mut in_flight = || {
        let client = client_sending(&pay_request(DEADLINE_MS));
        forwarded_in_order += 1;
        wait_until_forwarded(forwarded_in_order);
        client
    };
    let hung = in_flight();
    let mut answered_late: Vec<Client> = (0..LATE_CLIENTS).map(|_| in_flight()).collect();
    let mut behind_hung: Vec<Client> = (0..LATE_CLIENTS).map(|_| in_flight()).collect();
    let requests: Vec<String> = (0..LATE_CLIENTS).map(|_| post("pay", DEADLINE_MS, "", "abc")).collect();
    let (first_parts, rests): (Vec<&str>, Vec<&str>) =
        requests.iter().enumerate().map(|(n, request)| request.split_at(request.len() - 1 - 10 * n)).unzip();
    let mut halves: Vec<Client> = first_parts.into_iter().map(client_sending).collect();
    wait_until_processed(&proxy);
    let terminating = TerminatingProxy::start(proxy, hung);
    let mut forwarded = 1 + 2 * LATE_CLIENTS;
    for n in 0..LATE_CLIENTS {
        terminating.sleep_until(Duration::from_millis(600 + 10 * n as u64));
        behind_hung[n].write(&post("pay", DEADLINE_MS, "", "ab"));
        halves[n].write(rests[n]);
        // Crosses the response to the request before it.
        if n % 2 == 0 {
            release.send(()).expect("the upstream thread has ended");
        }
        let _ = answered_late[n].stream.write_all(pay_request(DEADLINE_MS).as_bytes());
        if n % 2 == 1 {
            release.send(()).expect("the upstream thread has ended");
        }
    }
    terminating.kill();
    for client in &behind_hung {
        assert_eq!(assert_final_responses(client, 2, "behind a stalled request"), [502, 503]);
    }
    for client in &halves {
        forwarded += usize::from(assert_final_responses(client, 1, "in two parts") == [502]);
    }
    for client in &answered_late {
        let (statuses, end) = read_outcome(client);
        assert!(matches!(statuses[..], [200] | [200, 502]), "behind a response: {statuses:?}, {end:?}");
        forwarded += statuses.len() - 1;
    }
    // A request that was closed over was never forwarded.
    assert_eq!(count.load(Ordering::SeqCst), forwarded);
}

/// Discovery is down from before SIGTERM to the kill: it refuses connections, or accepts polls and never
/// responds. Requests that are in flight, pipelined or waiting for an endpoint would be unanswered at
/// SIGKILL.
#[test]
fn discovery_outage_leaves_no_request_unanswered() {
    for is_refusing in [true, false] {
        // Stays bound for the whole test, so that its port is given to nobody else.
        let discovery_socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("invalid socket");
        discovery_socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("could not bind a loopback port");
        if !is_refusing {
            discovery_socket.listen(128).expect("could not listen");
        }
        let address =
            discovery_socket.local_addr().expect("no local address").as_socket().expect("invalid address");
        let upstream = Upstream::start(|n| match n {
            0 | 1 => Reply::Stall,
            _ => Reply::Send(http_response("200 OK", "", "done")),
        });
        let start_with_list = |endpoints: Value| {
            start_proxy(address, |config| {
                // A pushed list would not be used before the agent has confirmed it.
                config["settings"]["discovery"] = json!("subscribe");
                config["known"] = json!({"index": 41, "snapshot": true, "endpoints": endpoints});
            })
        };
        let proxy = start_with_list(eight_endpoints_at(upstream.address));
        let without_endpoints = start_with_list(json!([]));
        let hung =
            [pay_request(DEADLINE_MS), pay_request(DEADLINE_MS) + &look_request(DEADLINE_MS)].map(|text| {
                let mut client = proxy.client();
                client.write(&text);
                upstream.next_request();
                client
            });
        let mut waiting = without_endpoints.client();
        waiting.write(&look_request(DEADLINE_MS));
        let mut pipelined = without_endpoints.client();
        pipelined.write(&(look_request(DEADLINE_MS) + &pay_request(DEADLINE_MS)));
        let mut last = without_endpoints.client();
        last.write(&pay_request(DEADLINE_MS));
        // It knows no endpoint, so it is not ready.
        assert_eq!(without_endpoints.client().round_trip(READY_REQUEST).status(), 503);
        let [hung, behind] = hung;
        let (one, two) =
            (TerminatingProxy::start(proxy, hung), TerminatingProxy::start(without_endpoints, last));
        one.kill();
        two.kill();
        assert_eq!(assert_final_responses(&behind, 2, "pipelined"), [502, 503], "refusing {is_refusing}");
        assert_final_responses(&waiting, 1, "waits for an endpoint");
        assert_final_responses(&pipelined, 2, "waits for an endpoint, pipelined");
    }
}

/// Idle clients, some in the middle of a head, fill all client descriptors from before SIGTERM. A request
/// in the accept queue is answered or never read, and all others are answered before SIGKILL.
#[test]
fn full_descriptors_leave_no_request_unanswered() {
    let upstream = Upstream::start(|_| Reply::Stall);
    let discovery_server = DiscoveryServer::start(eight_endpoints_at(upstream.address));
    let proxy = start_proxy(discovery_server.address, |config| config["limits"]["sockets"] = json!(64));
    discovery_server.wait_until_list_received();
    let client_sending = |text: &str| {
        let mut client = proxy.client();
        client.write(text);
        client
    };
    let hung = client_sending(&pay_request(DEADLINE_MS));
    upstream.next_request();
    let mut in_flight: Vec<Client> = (0..3).map(|_| client_sending(&pay_request(DEADLINE_MS))).collect();
    in_flight.iter().for_each(|_| drop(upstream.next_request()));
    // More clients than there are slots; half of them begin a request.
    let _idle: Vec<Client> =
        (0..60).map(|n| client_sending(if n % 2 == 0 { "" } else { "POST /pay HT" })).collect();
    let mut queued: Vec<Client> = (0..6).map(|_| client_sending(&pay_request(DEADLINE_MS))).collect();
    let terminating = TerminatingProxy::start(proxy, hung);
    in_flight.iter_mut().for_each(|client| client.write(&pay_request(DEADLINE_MS)));
    queued.iter_mut().for_each(|client| client.write(&pay_request(DEADLINE_MS)));
    terminating.kill();
    for client in &in_flight {
        assert_eq!(assert_final_responses(client, 2, "in flight and behind"), [502, 503]);
    }
    for client in &queued {
        let (statuses, end) = read_outcome(client);
        assert!(statuses.len() == 2 || statuses.is_empty() && end == End::Reset, "{statuses:?}, {end:?}");
    }
}

/// A request with little time left comes at the moment of SIGTERM behind another one, which is answered at
/// once, by its endpoint, never, or has as little time left itself. The second request must not be read and
/// then never answered.
#[test]
fn short_deadline_pipelined_at_sigterm_is_answered() {
    for is_shared in [false, true] {
        let upstream = Upstream::start(|n| match n {
            0 => Reply::Stall,
            _ => Reply::Send(http_response("200 OK", "", "done")),
        });
        let discovery_server = DiscoveryServer::start(eight_endpoints_at(upstream.address));
        let config = config(discovery_server.address, long_deadline_settings());
        let platform = Platform::new();
        let proxy = if is_shared { platform.start(&config) } else { Proxy::start(&config) };
        discovery_server.wait_until_list_received();
        let mut hung = proxy.client();
        hung.write(&pay_request(DEADLINE_MS));
        upstream.next_request();
        let firsts =
            [READY_REQUEST.to_owned(), look_request(DEADLINE_MS), pay_request(5), pay_request(DEADLINE_MS)];
        let mut clients: Vec<(Client, String, String)> = [1, 2, 5, 10, 20, 50]
            .into_iter()
            .flat_map(|left| firsts.iter().map(move |first| (first, left)))
            .flat_map(|(first, left)| {
                [
                    (first, look_request(left)),
                    (first, pay_request(left)),
                    (first, post("pay", left, "", "ab")),
                ]
            })
            .map(|(first, second)| (proxy.client(), first.clone(), second))
            .collect();
        wait_until_processed(&proxy);
        // Some of the second requests are there before SIGTERM, some come after it.
        for (client, first, second) in clients.iter_mut().step_by(2) {
            client.write(&(first.clone() + second));
        }
        for (client, first, _) in clients.iter_mut().skip(1).step_by(2) {
            client.write(first);
        }
        let terminating = TerminatingProxy::start(proxy, hung);
        let mut is_read = vec![true; clients.len()];
        for (n, (client, _, second)) in clients.iter_mut().enumerate().skip(1).step_by(2) {
            let _ = client.stream.write_all(second.as_bytes());
            // If a next process accepts clients, the connection may be closed right behind the first
            // response.
            is_read[n] = !is_shared && terminating.is_before_idle_close();
        }
        terminating.kill();
        let mut answered = 0;
        for ((client, first, second), is_read) in clients.iter().zip(is_read) {
            let (statuses, end) = read_outcome(client);
            let context = format!("shared {is_shared}: {statuses:?}, {end:?} for {first}{second}");
            assert!(statuses.iter().all(|status| matches!(status, 200 | 502 | 503)), "{context}");
            assert!(statuses.len() == 2 || statuses.len() == 1 && !is_read, "{context}");
            answered += statuses.iter().filter(|status| matches!(status, 200 | 502)).count();
        }
        assert!(upstream.take_request_count() <= answered, "a request that was closed over was forwarded");
    }
}

/// A request that is pipelined behind one that is rejected for lack of memory must get its response too.
#[test]
fn request_behind_memory_rejection_is_answered() {
    for is_terminating in [false, true] {
        let sink = Sink::start("");
        let (proxy, hung, _discovery) = with_little_memory(&sink);
        let _holders = fill_memory(&proxy, &sink);
        let mut client = proxy.client();
        client.write(&post("pay", DEADLINE_MS, "", &"x".repeat(2000)).repeat(2));
        wait_until_processed(&proxy);
        if is_terminating {
            TerminatingProxy::start(proxy, hung).kill();
        } else {
            client.stream.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
        }
        assert_final_responses(&client, 2, &format!("both were sent at once, terminating {is_terminating}"));
    }
}
