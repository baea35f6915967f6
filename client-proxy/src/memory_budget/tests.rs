use super::*;

/// Bodies must not fill the memory, and a share must not be lost for good when the number of processes
/// changes.
#[test]
fn reservations_stay_within_the_share() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("could not build the runtime");
    runtime.block_on(async {
        let budget = MemoryBudget::new(STREAMED_SHARE_DIVISOR * 8 * STREAMED_BODY_BYTES);
        let free_bytes = || budget.streamed.permits.available_permits() * PERMIT_BYTES;
        let mut permits = Vec::new();
        while free_bytes() >= STREAMED_BODY_BYTES {
            permits.push(budget.reserve_streamed().await.expect("no memory permit"));
        }
        assert_eq!(permits.len(), 8);
        // Nothing is free to be given up yet: it is given up as it is released.
        budget.split_among(2);
        permits.truncate(3);
        budget.split_among(2);
        assert_eq!(free_bytes(), STREAMED_BODY_BYTES);
        budget.split_among(1);
        assert_eq!(free_bytes(), 5 * STREAMED_BODY_BYTES);
        // Streamed bodies take nothing from buffered ones, and a reservation above the total must not block
        // forever.
        assert!(budget.reserve_buffered(usize::MAX).await.is_some());
    });
}

/// A program that is larger than supposed would pass the limit, twice so in an upgrade.
#[test]
fn shares_leave_the_memory_of_the_programs() {
    for (total, sockets) in [(32_000_000, 1024), (32_000_000, 256), (48_000_000, 1024), (192_000_000, 1024)] {
        for (program, processes) in [(5 << 20, 1), (7 << 20, 1), (5 << 20, 2), (7 << 20, 2)] {
            let limits = MemoryLimits { total, program, sockets, processes };
            let shares = Shares::new(&limits);
            let most_of_a_side = sockets * MAX_SIDE_SHARE.0 / MAX_SIDE_SHARE.1;
            let endpoints = shares.endpoint_connections.min(most_of_a_side);
            let exchanges = (sockets - endpoints).min(shares.exchanges / EXCHANGE_BYTES);
            let alone = exchanges * EXCHANGE_BYTES
                + shares.long_heads
                + shares.bodies
                + endpoints * ACTIVE_ENDPOINT_BYTES;
            let beside = if processes > 1 { alone / PARTS_IN_UPGRADE } else { 0 };
            let used = processes * program + sockets * CONNECTION_BYTES + alone + beside;
            assert!(used <= total, "{limits:?}: {used}");
        }
    }
}
