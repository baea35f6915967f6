//! Calls that wait for events.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use libc::{c_int, epoll_event, sigset_t};

use crate::errno;
use crate::next::{call_next, interpose};
use crate::state::{ReentryGuard, Target};

interpose!(EpollWait, Target::None,
    epoll_wait(epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int) -> c_int);
interpose!(EpollWait, Target::None,
    epoll_pwait(epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int, mask: *const sigset_t) -> c_int);

/// How a descriptor is registered: the epoll descriptor, the events and the user data.
type Registration = (c_int, u32, u64);

static REGISTRATIONS: Mutex<BTreeMap<c_int, Registration>> = Mutex::new(BTreeMap::new());

/// Replaces `epoll_ctl`, to record how each descriptor is registered for [`rearm`].
///
/// # Safety
/// Same as for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation != libc::EPOLL_CTL_DEL && !event.is_null() {
        // SAFETY: not null, so it points to the caller's event.
        let event = unsafe { *event };
        if let Some(_guard) = ReentryGuard::enter() {
            let mut registrations = REGISTRATIONS.lock().unwrap_or_else(PoisonError::into_inner);
            registrations.insert(descriptor, (epoll, event.events, event.u64));
        }
    }
    call_next!(epoll_ctl(epoll: c_int, operation: c_int, descriptor: c_int, event: *mut epoll_event) -> c_int)
}

/// Makes an edge-triggered event fire again. A caller may take a short read for an empty receive buffer, and
/// a short write for a full send buffer, and then wait for an event. After a real short transfer the kernel
/// sends one when the buffer changes; after a shortened one it would not, and the caller would hang.
pub fn rearm(descriptor: c_int) {
    let Some(_guard) = ReentryGuard::enter() else { return };
    let registrations = REGISTRATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let Some((epoll, events, data)) = registrations.get(&descriptor).copied() else { return };
    let mut event = epoll_event { events, u64: data };
    let event: *mut epoll_event = &raw mut event;
    let errno = errno::get();
    // SAFETY: the event lives until the call returns. Descriptors that have been closed only make the call
    // fail.
    unsafe { libc::epoll_ctl(epoll, libc::EPOLL_CTL_MOD, descriptor, event) };
    errno::set(errno);
}
