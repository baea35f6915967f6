//! Calls that create connections.

use libc::{c_int, sockaddr, socklen_t};

use crate::next::{call_next, interpose};
use crate::state::Target;

interpose!(Accept4, Target::None, accept(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int);
interpose!(Accept4, Target::None,
    accept4(listener: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
interpose!(Socket, Target::None, socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
interpose!(Connect, Target::None, connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
