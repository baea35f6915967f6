//! Linux error numbers by name, and the calling thread's `errno`.

use libc::c_int;

macro_rules! numbers {
    ($($name:ident)*) => {
        /// Returns the number of the error with this name.
        pub fn by_name(name: &str) -> Option<c_int> {
            match name {
                $(stringify!($name) => Some(libc::$name),)*
                _ => None,
            }
        }
    };
}

numbers! {
    EACCES EADDRINUSE EADDRNOTAVAIL EAFNOSUPPORT EAGAIN EALREADY EBADF EBUSY ECONNABORTED ECONNREFUSED ECONNRESET
    EDESTADDRREQ EDQUOT EEXIST EFAULT EFBIG EHOSTDOWN EHOSTUNREACH EINPROGRESS EINTR EINVAL EIO EISCONN EISDIR ELOOP
    EMFILE EMLINK EMSGSIZE ENAMETOOLONG ENETDOWN ENETRESET ENETUNREACH ENFILE ENOBUFS ENODEV ENOENT ENOLCK ENOMEM
    ENONET ENOPROTOOPT ENOSPC ENOSR ENOSYS ENOTCONN ENOTDIR ENOTEMPTY ENOTSOCK EOPNOTSUPP EOVERFLOW EPERM EPIPE EPROTO
    EPROTONOSUPPORT EPROTOTYPE EROFS ESHUTDOWN ESOCKTNOSUPPORT ESTALE ETIMEDOUT ETXTBSY EWOULDBLOCK EXDEV
}

/// Returns the calling thread's error number.
pub fn get() -> c_int {
    // SAFETY: the C library gives every thread a valid location of its own.
    unsafe { *libc::__errno_location() }
}

/// Sets the calling thread's error number.
pub fn set(number: c_int) {
    // SAFETY: the C library gives every thread a valid location of its own.
    unsafe { *libc::__errno_location() = number }
}
