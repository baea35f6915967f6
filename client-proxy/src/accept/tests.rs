use std::io::Write;

use tokio::task::yield_now;

use super::*;
use crate::clients::tests::{READY, front, run, statuses};
use crate::socket_budget::SocketBudget;

/// Guards against connections lost in the accept queue as the process ends: neither an `accept` that fails
/// nor a burst that uses up a task's turn is the end of the queue, only an empty queue is.
#[test]
fn what_waits_in_the_accept_queue_at_the_end_is_answered() {
    const WAITING: usize = 300;
    run(async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("bound");
        let waiting = || {
            let mut client = std::net::TcpStream::connect(address).expect("accepted");
            client.write_all(READY.as_bytes()).expect("written");
            client
        };
        let clients: Vec<_> = (0..WAITING).map(|_| waiting()).collect();
        let front = front();
        front.shutdown.draining.cancel();
        serve(listener, front).await;
        let answered = clients
            .into_iter()
            .filter(|client| statuses(client.try_clone().expect("a second handle")) == ["200"]);
        assert_eq!(answered.count(), WAITING);
    });
}

/// The same with errors of `accept` before, between and behind those that wait.
#[test]
fn an_accept_that_fails_at_the_end_does_not_end_the_queue() {
    use io::ErrorKind::{ConnectionAborted, Interrupted, OutOfMemory, WouldBlock};
    const EMFILE: i32 = 24;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let clients: Vec<_> =
            (0..3).map(|_| std::net::TcpStream::connect(address).expect("accepted")).collect();
        let mut fails = [
            Some(io::Error::from(ConnectionAborted)),
            None,
            Some(io::Error::from_raw_os_error(EMFILE)),
            Some(io::Error::from(Interrupted)),
            None,
            Some(io::Error::from(OutOfMemory)),
            None,
        ]
        .into_iter();
        let accept = || match fails.next() {
            Some(Some(error)) => Err(error),
            Some(None) => accept_now(&listener),
            None => Err(WouldBlock.into()),
        };
        let taken_in = Cell::new(0);
        drain_accept_queue(accept, &front(), |_, _| taken_in.set(taken_in.get() + 1)).await;
        assert_eq!(taken_in.get(), clients.len());
        // One that fails for good is asked again, not in haste, until the last call.
        let (front, asked) = (front(), Cell::new(0));
        let fails_for_good = drain_accept_queue(
            || {
                asked.set(asked.get() + 1);
                Err(io::Error::from_raw_os_error(EMFILE))
            },
            &front,
            |_, _| {},
        );
        let kill_imminent = async {
            sleep(Duration::from_secs(1)).await;
            front.shutdown.kill_imminent.cancel();
        };
        tokio::join!(fails_for_good, kill_imminent);
        assert!((40..80).contains(&asked.get()), "{} times", asked.get());
    });
}

/// Guards against connections shut unread because there is no place for them at the moment: as others end,
/// they are taken in.
#[test]
fn the_accept_queue_waits_for_a_place_at_the_end() {
    run(async {
        let mut front = Rc::into_inner(front()).expect("the only one");
        front.sockets = SocketBudget::new(0, 0);
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut held = Vec::new();
        while let Some(slot) = front.sockets.try_acquire(Side::Client) {
            held.push(slot);
        }
        let mut client = std::net::TcpStream::connect(address).expect("accepted");
        client.write_all(READY.as_bytes()).expect("written");
        front.shutdown.draining.cancel();
        let serving = tokio::task::spawn_local(serve(listener, Rc::new(front)));
        for _ in 0..10 {
            yield_now().await;
        }
        drop(held);
        serving.await.expect("no panic");
        assert_eq!(statuses(client), ["200"]);
    });
}
