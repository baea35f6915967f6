use std::io::{Read, Write};

use hyper_util::rt::TokioIo;

use super::*;

/// Guards against a client answered late: while its body lay ready and waited for room its time ran.
#[test]
fn what_waits_for_room_has_not_kept_us_waiting() {
    const NO_ROOM: Duration = Duration::from_millis(200);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let _ = stream.read(&mut [0; 1024]).expect("a head");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc").expect("written");
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let stream = tokio::net::TcpStream::connect(address).await.expect("accepted");
        let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = made.expect("no words yet");
        tokio::task::spawn_local(connection);
        let request = hyper::Request::new(http_body_util::Empty::<Bytes>::new());
        let body = sender.send_request(request).await.expect("a head").into_body();
        let (start, room) = (Instant::now(), MemoryBudget::new(0));
        let all = [room.reserve_buffered(usize::MAX).await, room.reserve_buffered(usize::MAX).await];
        let mut paced = PacedBody::new(body, Duration::from_secs(20));
        tokio::task::spawn_local(async move {
            sleep(NO_ROOM).await;
            drop(all);
        });
        assert_eq!(paced.read_prefix(&room).await.expect("room").0, "abc");
        assert!(start.elapsed() - paced.waited() >= NO_ROOM);
    });
}
