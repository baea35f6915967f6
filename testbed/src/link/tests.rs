use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;
use tokio::time::timeout;

use super::*;
use crate::chance::stream;

/// Far longer than a connect on loopback takes, and shorter than the kernel's delay before it resends a lost
/// SYN.
const SOON: Duration = Duration::from_millis(300);

/// Reached only if the code under test hangs.
const HANG: Duration = Duration::from_secs(20);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn connect(link: &Rc<Link>) -> (TcpStream, LinkStream, LinkListener) {
    let mut listener = LinkListener::open(Rc::clone(link)).expect("a port");
    let address = listener.address();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("accepted"), accepted.expect("a connection"), listener)
}

/// On a cut link an open connection delivers nothing in the direction that is cut, and data in the other
/// direction still arrives. New connections are neither established nor refused. Data sent during the cut
/// arrives afterwards.
#[test]
fn cut_link_delivers_after_heal() {
    run(async {
        let link = Link::new(stream(1, "link"));
        let (mut client, mut server, mut listener) = connect(&link).await;
        link.cut(true, false);
        client.write_all(b"out").await.expect("write to the socket buffer");
        let mut three = [0; 3];
        let cut_read = timeout(SOON, server.read_exact(&mut three)).await;
        assert!(cut_read.is_err(), "data arrived over the cut forward direction");
        server.write_all(b"back").await.expect("written");
        server.flush().await.expect("the reverse direction is open");
        let mut four = [0; 4];
        client.read_exact(&mut four).await.expect("the reverse direction is open");
        // The listener applies the cut when it is polled.
        let address = listener.address();
        tokio::select! {
            biased;
            _ = listener.accept() => panic!("accepted over a cut link"),
            _ = tokio::time::sleep(SOON) => {}
        }
        let connected = timeout(SOON, TcpStream::connect(address)).await;
        assert!(connected.is_err(), "{connected:?}");
        link.cut(false, false);
        server.read_exact(&mut three).await.expect("data sent during the cut");
        assert_eq!(&three, b"out");
    });
}

/// After a reset both sides see an error, not an end of file. While connections are refused, a connect fails
/// at once instead of timing out as on a cut link, and the port stays reserved.
#[test]
fn reset_and_refusal_return_errors() {
    run(async {
        let link = Link::new(stream(1, "link"));
        let (mut client, mut server, mut listener) = connect(&link).await;
        link.reset();
        let read = timeout(HANG, server.read(&mut [0; 1])).await;
        assert!(read.expect("read completes after the reset").is_err());
        drop(server);
        let error = client.read(&mut [0; 1]).await.expect_err("reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        let address = listener.address();
        link.refuse(true);
        tokio::select! {
            biased;
            _ = listener.accept() => panic!("accepted while connections are refused"),
            _ = tokio::task::yield_now() => {}
        }
        let error = TcpStream::connect(address).await.expect_err("refused");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
        // The kernel gives the reserved port to no other socket.
        let other = TcpSocket::new_v4().expect("a socket").bind(address);
        assert_eq!(other.expect_err("port is still reserved").kind(), io::ErrorKind::AddrInUse);
        link.refuse(false);
        // Once polled, the listener listens again on the same address.
        let reconnect = async {
            loop {
                if let Ok(stream) = TcpStream::connect(address).await {
                    return stream;
                }
                tokio::task::yield_now().await;
            }
        };
        let (accepted, _client) = tokio::join!(listener.accept(), reconnect);
        assert!(accepted.is_ok());
    });
}

/// Data arrives no earlier than the link's delay. When the delay is removed while a chunk is in flight, a
/// later chunk still arrives after it.
#[test]
fn delayed_chunks_arrive_in_order() {
    run(async {
        const DELAY: Duration = Duration::from_millis(1000);
        let link = Link::new(stream(1, "link"));
        let (mut client, mut server, _listener) = connect(&link).await;
        link.delay(DELAY, Duration::ZERO);
        let sent = Instant::now();
        client.write_all(b"first").await.expect("written");
        let mut five = [0; 5];
        let early_read = timeout(DELAY / 20, server.read_exact(&mut five)).await;
        assert!(early_read.is_err(), "data arrived before the delay had passed");
        link.delay(Duration::ZERO, Duration::ZERO);
        client.write_all(b"again").await.expect("written");
        let mut all = [0; 10];
        server.read_exact(&mut all).await.expect("both chunks");
        assert_eq!(&all, b"firstagain");
        assert!(sent.elapsed() >= DELAY);
    });
}
