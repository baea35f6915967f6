use std::io;
use std::net::SocketAddr;

use rand_core::SeedableRng;

use super::*;
use crate::catalog::TombstoneRetention;

const NEAR: &str = "127.0.0.1:1";
const FAR: &str = "127.0.0.1:2";

fn upstream() -> Upstream {
    let [near, far] = [NEAR, FAR].map(|address| address.parse::<SocketAddr>().expect("a valid address"));
    let mut rng = Pcg32::seed_from_u64(1);
    let sources = Sources::new(&[near], &[far], &mut rng).expect("two sources");
    let retention = TombstoneRetention { max_per_service: 10, max_age: Duration::from_secs(60) };
    Upstream::new(Rc::new(RefCell::new(Catalog::new(retention, []))), sources, rng)
}

/// If connecting fails because this process lacks a port or a descriptor, the near source must not be put
/// into quarantine, which lasts up to a minute.
#[test]
fn local_connect_error_does_not_change_source() {
    // On Linux: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS.
    for code in [4, 11, 12, 23, 24, 99, 105] {
        let mut upstream = upstream();
        for _ in 0..20 {
            let error = PollError::from(io::Error::from_raw_os_error(code));
            let backoff = upstream.on_failure(&error);
            assert!(!backoff.is_zero() && backoff <= LOCAL_BACKOFF, "{error}: {backoff:?}");
            assert_eq!(upstream.sources.address().to_string(), NEAR, "{error}");
        }
    }
    // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH and ENETUNREACH are due to the source or the network.
    for code in [111, 110, 113, 101] {
        let mut upstream = upstream();
        upstream.on_failure(&io::Error::from_raw_os_error(code).into());
        assert_eq!(upstream.sources.address().to_string(), FAR, "{code}");
    }
}
