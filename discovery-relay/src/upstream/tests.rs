use std::io;
use std::net::SocketAddr;

use rand_core::SeedableRng;

use super::*;
use crate::catalog::TombstoneRetention;

const NEAR: &str = "127.0.0.1:1";
const FAR: &str = "127.0.0.1:2";

fn upstream() -> Upstream {
    let [near, far] = [NEAR, FAR].map(|address| address.parse::<SocketAddr>().expect("an address"));
    let mut rng = Pcg32::seed_from_u64(1);
    let sources = Sources::new(&[near], &[far], &mut rng).expect("two sources");
    let keep = TombstoneRetention { most: 10, long: Duration::from_secs(60) };
    Upstream::new(Rc::new(RefCell::new(Catalog::new(keep, []))), sources, rng)
}

/// Guards against a near source that is left alone for up to a minute because this process lacks a port or a
/// descriptor.
#[test]
fn a_source_is_not_left_for_a_dial_that_failed_locally() {
    // As Linux numbers them: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS.
    for code in [4, 11, 12, 23, 24, 99, 105] {
        let mut upstream = upstream();
        for _ in 0..20 {
            let error = PollError::from(io::Error::from_raw_os_error(code));
            let pause = upstream.failed(&error);
            assert!(!pause.is_zero() && pause <= LOCAL_BACKOFF, "{error}: {pause:?}");
            assert_eq!(upstream.sources.address().to_string(), NEAR, "{error}");
        }
    }
    // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH and ENETUNREACH speak of the source or of the way to it.
    for code in [111, 110, 113, 101] {
        let mut upstream = upstream();
        upstream.failed(&io::Error::from_raw_os_error(code).into());
        assert_eq!(upstream.sources.address().to_string(), FAR, "{code}");
    }
}
