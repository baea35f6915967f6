use std::io::{Read, Write};

use hyper_util::rt::TokioIo;

use super::*;

/// While a body that has arrived waits for memory, its deadline keeps running: the wait must not be counted
/// as time that the client took to send it, or the response would come late.
#[test]
fn memory_wait_is_not_charged_to_body() {
    const MEMORY_WAIT: Duration = Duration::from_millis(200);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accept failed").0;
        let _ = stream.read(&mut [0; 1024]).expect("no message head");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc").expect("could not write");
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("could not build the runtime"), async {
        let stream = tokio::net::TcpStream::connect(address).await.expect("could not connect");
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("the handshake failed");
        tokio::task::spawn_local(connection);
        let request = hyper::Request::new(http_body_util::Empty::<Bytes>::new());
        let body = sender.send_request(request).await.expect("no message head").into_body();
        let (start, budget) = (Instant::now(), MemoryBudget::new(0));
        let permits = [budget.reserve_buffered(usize::MAX).await, budget.reserve_buffered(usize::MAX).await];
        let mut paced = PacedBody::new(body, Duration::from_secs(20));
        tokio::task::spawn_local(async move {
            sleep(MEMORY_WAIT).await;
            drop(permits);
        });
        let mut wait = MemoryWait::new(MEMORY_TIMEOUT);
        let prefix = paced.read_prefix(&budget, &mut wait).await.expect("no memory permit").0;
        assert_eq!(prefix, "abc");
        assert!(wait.spent() >= MEMORY_WAIT);
        assert!(start.elapsed() - paced.waited() >= MEMORY_WAIT);
    });
}
