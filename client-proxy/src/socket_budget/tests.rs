use super::*;

#[test]
fn clients_and_upstreams_keep_reserved_sockets() {
    let sockets = SocketBudget::new(RESERVED_DESCRIPTORS + 9, 1);
    let clients: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_acquire(Side::Client)).collect();
    let endpoints: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_acquire(Side::Upstream)).collect();
    assert_eq!((clients.len(), endpoints.len(), sockets.is_full()), (6, 2, true));
    drop(clients);
    assert!(sockets.try_acquire(Side::Client).is_some() && !sockets.is_full());
}

/// While one process takes over from another, the two together must stay within the limit.
#[test]
fn two_processes_share_the_limit() {
    let sockets = SocketBudget::new(2 * (RESERVED_DESCRIPTORS + 1 + 12), 1);
    let permits: Vec<SocketPermit> = (0..20).filter_map(|_| sockets.try_acquire(Side::Client)).collect();
    assert_eq!(permits.len(), 20);
    sockets.split_among(2);
    assert!(sockets.is_exceeded() && sockets.try_acquire(Side::Upstream).is_none());
    drop(permits);
    let permits: Vec<SocketPermit> = (0..40)
        .filter_map(|n| sockets.try_acquire(if n % 2 == 0 { Side::Client } else { Side::Upstream }))
        .collect();
    assert_eq!(permits.len(), 12);
    sockets.split_among(1);
    assert!(sockets.try_acquire(Side::Client).is_some());
}

#[test]
fn upstreams_stay_within_their_memory() {
    let sockets = SocketBudget::new(RESERVED_DESCRIPTORS + 12, 0);
    sockets.limit_upstreams(2);
    let upstreams: Vec<SocketPermit> = std::iter::from_fn(|| sockets.try_acquire(Side::Upstream)).collect();
    assert_eq!(upstreams.len(), 2);
    assert!(sockets.try_acquire(Side::Client).is_some());
}
