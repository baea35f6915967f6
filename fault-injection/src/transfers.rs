//! Calls that transfer bytes, which may be shortened.

use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};

use crate::effect::{Effect, before_call};
use crate::next::call_next;
use crate::plan::Call;
use crate::state::Target;

/// Defines a replacement for a function with one buffer of `$length` bytes.
macro_rules! interpose_buffer {
    ($call:ident, $length:ident, $name:ident($descriptor:ident: c_int, $($argument:ident: $type:ty),*)) => {
        #[doc = concat!("Replaces `", stringify!($name), "`.")]
        ///
        /// # Safety
        /// Same as for the function of the C library.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($descriptor: c_int, $($argument: $type),*) -> ssize_t {
            let Some(effect) = before_call(Call::$call, &Target::Descriptor($descriptor)) else { return -1 };
            let $length = effect.limit($length);
            let transferred = call_next!($name($descriptor: c_int, $($argument: $type),*) -> ssize_t);
            effect.after_call($descriptor);
            transferred
        }
    };
}

interpose_buffer!(Read, length, read(descriptor: c_int, buffer: *mut c_void, length: size_t));
interpose_buffer!(Write, length, write(descriptor: c_int, buffer: *const c_void, length: size_t));
interpose_buffer!(Recv, length, recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int));
interpose_buffer!(Send, length, send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int));
interpose_buffer!(Recv, length, recvfrom(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int,
    address: *mut sockaddr, address_length: *mut socklen_t));
interpose_buffer!(Send, length, sendto(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int,
    address: *const sockaddr, address_length: socklen_t));

/// Defines a replacement for a function with several buffers.
macro_rules! interpose_buffers {
    ($call:ident, $name:ident) => {
        #[doc = concat!("Replaces `", stringify!($name), "`.")]
        ///
        /// # Safety
        /// Same as for the function of the C library.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
            let Some(effect) = before_call(Call::$call, &Target::Descriptor(descriptor)) else { return -1 };
            let length = usize::try_from(count).unwrap_or(0);
            // SAFETY: the caller passes `count` buffers, as the C function requires.
            let shortened = unsafe { shorten_buffers(&effect, buffers, length) };
            let (buffers, count) =
                shortened.as_ref().map_or((buffers, count), |shortened| (&raw const *shortened, 1));
            let transferred =
                call_next!($name(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t);
            effect.after_call(descriptor);
            transferred
        }
    };
}

interpose_buffers!(Readv, readv);
interpose_buffers!(Writev, writev);

/// Defines a replacement for a function with a message of type `$message`, which has several buffers.
macro_rules! interpose_message {
    ($call:ident, $name:ident, $message:ty, $copy_results:expr) => {
        #[doc = concat!("Replaces `", stringify!($name), "`.")]
        ///
        /// # Safety
        /// Same as for the function of the C library.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(socket: c_int, message: $message, flags: c_int) -> ssize_t {
            let Some(effect) = before_call(Call::$call, &Target::Descriptor(socket)) else { return -1 };
            if !effect.is_short() || message.is_null() {
                return call_next!($name(socket: c_int, message: $message, flags: c_int) -> ssize_t);
            }
            let caller_message = message;
            // SAFETY: not null, so it points to the caller's message.
            let mut short_message: msghdr = unsafe { *caller_message };
            // SAFETY: the message has `msg_iovlen` buffers, as the C function requires.
            let mut shortened =
                unsafe { shorten_buffers(&effect, short_message.msg_iov, short_message.msg_iovlen as usize) };
            if let Some(shortened) = shortened.as_mut() {
                (short_message.msg_iov, short_message.msg_iovlen) = (&raw mut *shortened, 1);
            }
            let message: $message = &raw mut short_message;
            let transferred = call_next!($name(socket: c_int, message: $message, flags: c_int) -> ssize_t);
            $copy_results(caller_message, &short_message);
            effect.after_call(socket);
            transferred
        }
    };
}

interpose_message!(Recv, recvmsg, *mut msghdr, copy_results);
interpose_message!(Send, sendmsg, *const msghdr, |_, _: &msghdr| ());

/// Copies the fields that a receive call writes into the message back to the caller's message.
fn copy_results(caller_message: *mut msghdr, short_message: &msghdr) {
    // SAFETY: the caller's message, checked not to be null before the call.
    let caller_message = unsafe { &mut *caller_message };
    caller_message.msg_namelen = short_message.msg_namelen;
    caller_message.msg_controllen = short_message.msg_controllen;
    caller_message.msg_flags = short_message.msg_flags;
}

/// Returns the first buffer that is not empty, limited to the bytes to transfer; `None` if the call is not
/// shortened.
///
/// # Safety
/// `buffers` must be null or point to `count` buffers.
unsafe fn shorten_buffers(effect: &Effect, buffers: *const iovec, count: usize) -> Option<iovec> {
    if !effect.is_short() || buffers.is_null() {
        return None;
    }
    // SAFETY: not null, so it points to `count` buffers, as the caller of this function guarantees.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    let first = buffers.iter().find(|buffer| buffer.iov_len > 0)?;
    Some(iovec { iov_base: first.iov_base, iov_len: effect.limit(first.iov_len) })
}
