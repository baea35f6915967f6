use std::io::Write;

use tokio::task::yield_now;

use super::*;
use crate::clients::tests::{READY_REQUEST, context, run, statuses};
use crate::socket_budget::SocketBudget;

/// Connections in the accept queue must not be lost as the process ends. Neither a failing `accept` nor a
/// burst that uses up the cooperative budget of the task means that the queue is empty.
#[test]
fn accept_queue_is_served_at_shutdown() {
    const WAITING_CLIENTS: usize = 300;
    run(async {
        let listener =
            listen("127.0.0.1:0".parse().expect("invalid address")).expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let waiting = || {
            let mut client = std::net::TcpStream::connect(address).expect("could not connect");
            client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
            client
        };
        let clients: Vec<_> = (0..WAITING_CLIENTS).map(|_| waiting()).collect();
        let context = context();
        context.shutdown.draining.cancel();
        serve(listener, context).await;
        let answered = clients
            .into_iter()
            .filter(|client| statuses(client.try_clone().expect("could not clone the socket")) == ["200"]);
        assert_eq!(answered.count(), WAITING_CLIENTS);
    });
}

/// The same with errors of `accept` before, between and behind the waiting connections.
#[test]
fn accept_errors_at_shutdown_leave_no_client() {
    use io::ErrorKind::{ConnectionAborted, Interrupted, OutOfMemory, WouldBlock};
    const EMFILE: i32 = 24;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let clients: Vec<_> =
            (0..3).map(|_| std::net::TcpStream::connect(address).expect("could not connect")).collect();
        let mut results = [
            Some(io::Error::from(ConnectionAborted)),
            None,
            Some(io::Error::from_raw_os_error(EMFILE)),
            Some(io::Error::from(Interrupted)),
            None,
            Some(io::Error::from(OutOfMemory)),
            None,
        ]
        .into_iter();
        let accept = || match results.next() {
            Some(Some(error)) => Err(error),
            Some(None) => accept_now(&listener),
            None => Err(WouldBlock.into()),
        };
        let accepted = Cell::new(0);
        drain_accept_queue(accept, &context(), |_, _| accepted.set(accepted.get() + 1)).await;
        assert_eq!(accepted.get(), clients.len());
        // An `accept` that always fails is retried with a backoff until SIGKILL is imminent.
        let (context, calls) = (context(), Cell::new(0));
        let failing = drain_accept_queue(
            || {
                calls.set(calls.get() + 1);
                Err(io::Error::from_raw_os_error(EMFILE))
            },
            &context,
            |_, _| {},
        );
        let kill_imminent = async {
            sleep(Duration::from_secs(1)).await;
            context.shutdown.kill_imminent.cancel();
        };
        tokio::join!(failing, kill_imminent);
        assert!((40..80).contains(&calls.get()), "{} calls", calls.get());
    });
}

/// A context without a free socket for clients until the slots are dropped, and a listener with a client that waits.
fn client_without_socket() -> (ClientContext, Vec<SocketPermit>, TcpListener, std::net::TcpStream) {
    let mut context = Rc::into_inner(context()).expect("the context is shared");
    context.sockets = SocketBudget::new(0, 0);
    let slots = std::iter::from_fn(|| context.sockets.try_acquire(Side::Client)).collect();
    let listener =
        listen("127.0.0.1:0".parse().expect("invalid address")).expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let mut client = std::net::TcpStream::connect(address).expect("could not connect");
    client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
    (context, slots, listener, client)
}

/// Gives other tasks time for what they can do now.
async fn yield_to_others() {
    for _ in 0..10 {
        yield_now().await;
    }
}

/// Connections must not be closed unread only because no socket is free at the moment: they are accepted as
/// others end.
#[test]
fn accept_queue_waits_for_socket_at_shutdown() {
    run(async {
        let (context, slots, listener, client) = client_without_socket();
        context.shutdown.draining.cancel();
        let serving = tokio::task::spawn_local(serve(listener, Rc::new(context)));
        yield_to_others().await;
        drop(slots);
        serving.await.expect("another task or thread panicked");
        assert_eq!(statuses(client), ["200"]);
    });
}

/// Connections that still wait for a socket when SIGKILL is imminent must get a final response: they would be reset
/// with the listener, and their requests lost.
#[test]
fn accept_queue_is_served_when_kill_is_imminent() {
    run(async {
        let (context, slots, listener, client) = client_without_socket();
        let shutdown = context.shutdown.clone();
        shutdown.draining.cancel();
        let serving = tokio::task::spawn_local(serve(listener, Rc::new(context)));
        yield_to_others().await;
        shutdown.kill_imminent.cancel();
        yield_to_others().await;
        drop(slots);
        serving.await.expect("another task or thread panicked");
        assert_eq!(statuses(client), ["200"]);
    });
}

/// A client that gives up while it waits must not take the listener away from those behind it.
#[test]
fn aborted_connection_leaves_no_client_when_kill_is_imminent() {
    run(async {
        let (context, slots, listener, _client) = client_without_socket();
        drop(slots);
        context.shutdown.kill_imminent.cancel();
        let mut errors = [io::ErrorKind::ConnectionAborted, io::ErrorKind::Interrupted].into_iter();
        let accept = || errors.next().map_or_else(|| accept_now(&listener), |kind| Err(kind.into()));
        let accepted = Cell::new(0);
        drain_accept_queue(accept, &context, |_, _| accepted.set(accepted.get() + 1)).await;
        assert_eq!(accepted.get(), 1);
    });
}
