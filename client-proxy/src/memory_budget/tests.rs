use super::*;

/// Guards against bodies that fill the memory, and against a share that is lost for good.
#[test]
fn no_more_is_held_than_the_share() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let room = MemoryBudget::new(STREAMED_SHARE_DIVISOR * 8 * STREAMED_BODY_BYTES);
        let free = || room.streamed.permits.available_permits() * PERMIT_BYTES;
        let mut held = Vec::new();
        while free() >= STREAMED_BODY_BYTES {
            held.push(room.reserve_streamed().await.expect("room"));
        }
        assert_eq!(held.len(), 8);
        // Nothing is free to give up yet: it goes as it is let go.
        room.split_among(2);
        held.truncate(3);
        room.split_among(2);
        assert_eq!(free(), STREAMED_BODY_BYTES);
        room.split_among(1);
        assert_eq!(free(), 5 * STREAMED_BODY_BYTES);
        // Long ones take nothing from short ones, and more than there is at all is no reason to hang.
        assert!(room.reserve_buffered(usize::MAX).await.is_some());
    });
}
