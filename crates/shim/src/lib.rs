//! A library that the soak preloads into the program: calls of the C library fail as Linux documents, by a seed, and the wall
//! clock steps. The one crate of the project with `unsafe`: it stands in for functions of the C library.
//!
//! `OCHREWARD_SHIM` tells what happens: `seed=N;per_mille=N;from_ms=N;to_ms=N;step_at_ms=N;step_ms=N`, all optional. Calls
//! fail only between `from_ms` and `to_ms` after the process started; the wall clock is off by `step_ms` from `step_at_ms` on.
//!
//! Only connections that the process itself begins are broken (`ETIMEDOUT`, `EHOSTUNREACH`); on those that it accepts, calls are
//! interrupted and cut short, which no peer may notice.

use libc::{c_int, c_void, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Descriptors that are told apart; higher ones count as accepted.
const MOST_DESCRIPTORS: usize = 65_536;
const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

/// What happens to the process.
struct Plan {
    per_mille: u64,
    from_ms: i64,
    to_ms: i64,
    step_at_ms: i64,
    step_ms: i64,
    began_ms: i64,
    state: AtomicU64,
}

static PLAN: OnceLock<Plan> = OnceLock::new();
static BEGUN_HERE: [AtomicBool; MOST_DESCRIPTORS] = [const { AtomicBool::new(false) }; MOST_DESCRIPTORS];

fn number(text: &str, name: &str) -> i64 {
    let value = text.split(';').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn plan() -> &'static Plan {
    PLAN.get_or_init(|| {
        let text = std::env::var("OCHREWARD_SHIM").unwrap_or_default();
        Plan {
            per_mille: number(&text, "per_mille") as u64,
            from_ms: number(&text, "from_ms"),
            to_ms: number(&text, "to_ms"),
            step_at_ms: number(&text, "step_at_ms"),
            step_ms: number(&text, "step_ms"),
            began_ms: monotonic_ms(),
            state: AtomicU64::new(number(&text, "seed") as u64 | 1),
        }
    })
}

fn real_clock(clock: c_int, out: *mut timespec) -> c_int {
    // The system call itself: the C library's function is the one that this library replaces.
    unsafe { libc::syscall(libc::SYS_clock_gettime, clock, out) as c_int }
}

fn monotonic_ms() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    real_clock(libc::CLOCK_MONOTONIC, &mut now);
    now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS
}

/// A number below `most`, the next of this process's seed (splitmix64).
fn draw(plan: &Plan, most: u64) -> u64 {
    let mut z = plan.state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) % most
}

/// Whether this call fails, and with which of these errors.
fn fault(errors: &[c_int]) -> Option<c_int> {
    let plan = plan();
    let now = monotonic_ms() - plan.began_ms;
    let fails = plan.per_mille > 0
        && (plan.from_ms..plan.to_ms).contains(&now)
        && draw(plan, 1_000) < plan.per_mille
        && !errors.is_empty();
    fails.then(|| errors[draw(plan, errors.len() as u64) as usize])
}

fn fail(error: c_int) -> c_int {
    // The C library's own cell for this thread's error.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn mark(fd: c_int, begun_here: bool) {
    if let Some(cell) = usize::try_from(fd).ok().and_then(|fd| BEGUN_HERE.get(fd)) {
        cell.store(begun_here, Ordering::Relaxed);
    }
}

fn begun_here(fd: c_int) -> bool {
    let cell = usize::try_from(fd).ok().and_then(|fd| BEGUN_HERE.get(fd));
    cell.is_some_and(|cell| cell.load(Ordering::Relaxed))
}

/// Half of a length, at least one byte, for one call of four in the time of faults.
fn cut_short(length: usize) -> usize {
    let plan = plan();
    match fault(&[libc::EINTR]) {
        Some(_) if length > 1 && draw(plan, 4) > 0 => length / 2,
        _ => length,
    }
}

/// Whether a descriptor is a socket for datagrams, which may not be cut short.
fn is_datagram(fd: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut size = size_of::<c_int>() as socklen_t;
    let to = (&raw mut kind).cast::<c_void>();
    let got = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, to, &mut size) };
    got == 0 && kind == libc::SOCK_DGRAM
}

/// See `clock_gettime(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, out: *mut timespec) -> c_int {
    let result = real_clock(clock, out);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let plan = plan();
        if plan.step_ms != 0 && monotonic_ms() - plan.began_ms >= plan.step_at_ms {
            let time = unsafe { &mut *out };
            let total = time.tv_sec * NS_PER_S + time.tv_nsec + plan.step_ms * NS_PER_MS;
            time.tv_sec = total.div_euclid(NS_PER_S);
            time.tv_nsec = total.rem_euclid(NS_PER_S);
        }
    }
    result
}

/// See `socket(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(family: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = fault(&[libc::ENFILE, libc::ENOBUFS]) {
        return fail(error);
    }
    let fd = unsafe { libc::syscall(libc::SYS_socket, family, kind, protocol) as c_int };
    mark(fd, false);
    fd
}

/// See `connect(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    if let Some(error) = fault(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS]) {
        return fail(error);
    }
    mark(fd, !is_datagram(fd));
    unsafe { libc::syscall(libc::SYS_connect, fd, to, size) as c_int }
}

/// See `accept4(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // ECONNABORTED would take a connection off the queue; here it stays there, so that no client may notice.
    if let Some(error) = fault(&[libc::EINTR, libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS]) {
        return fail(error);
    }
    let accepted = unsafe { libc::syscall(libc::SYS_accept4, fd, from, size, flags) as c_int };
    mark(accepted, false);
    accepted
}

/// The errors of a call on a socket.
fn socket_errors(fd: c_int) -> &'static [c_int] {
    match (is_datagram(fd), begun_here(fd)) {
        (true, _) => &[libc::EINTR, libc::ENOBUFS, libc::ENETUNREACH, libc::EHOSTUNREACH],
        (false, true) => &[libc::EINTR, libc::EINTR, libc::EINTR, libc::ETIMEDOUT, libc::EHOSTUNREACH],
        (false, false) => &[libc::EINTR],
    }
}

/// See `send(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, data: *const c_void, size: usize, flags: c_int) -> ssize_t {
    if let Some(error) = fault(socket_errors(fd)) {
        return fail(error) as ssize_t;
    }
    let size = if is_datagram(fd) { size } else { cut_short(size) };
    let (to, none) = (std::ptr::null::<sockaddr>(), 0);
    unsafe { libc::syscall(libc::SYS_sendto, fd, data, size, flags, to, none) as ssize_t }
}

/// See `recv(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, data: *mut c_void, size: usize, flags: c_int) -> ssize_t {
    if let Some(error) = fault(socket_errors(fd)) {
        return fail(error) as ssize_t;
    }
    let size = if is_datagram(fd) { size } else { cut_short(size) };
    let (from, none) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, data, size, flags, from, none) as ssize_t }
}

/// See `epoll_wait(2)`.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    wait_ms: c_int,
) -> c_int {
    if let Some(error) = fault(&[libc::EINTR]) {
        return fail(error);
    }
    let (mask, size) = (std::ptr::null::<c_void>(), 0usize);
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, most, wait_ms, mask, size) as c_int }
}

/// See `write(2)`: to files only, which may be full or broken.
///
/// # Safety
/// As the function it replaces.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, data: *const c_void, size: usize) -> ssize_t {
    let mut state: libc::stat = unsafe { std::mem::zeroed() };
    let file = unsafe { libc::fstat(fd, &mut state) } == 0 && state.st_mode & libc::S_IFMT == libc::S_IFREG;
    let mut size = size;
    // Standard output and error are the soak's own record.
    if file && fd > 2 {
        if let Some(error) = fault(&[libc::ENOSPC, libc::EIO, libc::EINTR]) {
            return fail(error) as ssize_t;
        }
        size = cut_short(size);
    }
    unsafe { libc::syscall(libc::SYS_write, fd, data, size) as ssize_t }
}
