use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;

/// Reached only if the code under test hangs.
const HANG: Duration = Duration::from_secs(20);

/// A fault affects only the direction of the pair for which it is set. The source address of a datagram that
/// arrives is the advertised address of its sender, so that the receiver can reply to it.
#[test]
fn faults_affect_one_direction_of_one_pair() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port"));
        }
        let bound = sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect();
        let net = Datagrams::open(bound, 1, |_, _| Duration::ZERO).await.expect("ports");
        let known: Vec<SocketAddr> = (0..3).map(|n| net.address(n).expect("bound")).collect();
        let send = async |from: usize, to: usize, text: &str| {
            sockets[from].send_to(text.as_bytes(), known[to]).await.expect("sent");
        };
        let next = async |at: usize| {
            let mut buffer = [0; 64];
            let received =
                timeout(HANG, sockets[at].recv_from(&mut buffer)).await.expect("a datagram arrives");
            let (length, sender) = received.expect("read");
            (String::from_utf8_lossy(&buffer[..length]).into_owned(), sender)
        };
        let (lane, reverse) = (net.lane(0, 1), net.lane(1, 0));
        lane.cut(true);
        send(0, 1, "cut").await;
        send(2, 1, "other").await;
        assert_eq!(next(1).await, ("other".to_owned(), known[2]), "only one pair is cut");
        send(1, 0, "back").await;
        assert_eq!(next(0).await, ("back".to_owned(), known[1]), "only one direction is cut");
        lane.cut(false);
        reverse.lose(1.0);
        lane.double(1.0);
        send(1, 0, "lost").await;
        send(0, 1, "twice").await;
        assert_eq!([next(1).await.0, next(1).await.0], ["twice", "twice"]);
        lane.double(0.0);
        // Far longer than the next datagram takes on any machine, so that it must overtake this one.
        lane.reorder(1.0, Duration::from_secs(3600));
        send(0, 1, "late").await;
        while net.sent_bytes(0) < 12 {
            tokio::task::yield_now().await;
        }
        lane.reorder(0.0, Duration::ZERO);
        send(0, 1, "first").await;
        assert_eq!(next(1).await.0, "first", "the later datagram overtakes the delayed one");
        reverse.lose(0.0);
        send(1, 0, "again").await;
        assert_eq!(next(0).await.0, "again", "a lost datagram never arrives");
    });
}
