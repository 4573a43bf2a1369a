//! A library that the soak preloads into the dispatcher. It replaces functions of the C library: their calls fail with errors that
//! Linux documents, drawn from a seed, and the wall clock steps. It is the only crate of the project with `unsafe`, which replacing
//! functions of the C library requires.
//!
//! `OCHREWARD_SHIM` holds the settings: `seed=N;per_mille=N;from_ms=N;to_ms=N;step_at_ms=N;step_ms=N`, all optional. `per_mille` of a
//! thousand calls fail, only between `from_ms` and `to_ms` after the process's first intercepted call; the wall clock is off by
//! `step_ms` from `step_at_ms` on.
//!
//! Only connections that the process itself opens are broken (`ETIMEDOUT`, `EHOSTUNREACH`). On accepted connections calls are only
//! interrupted or shortened, which must have no effect that a client can notice.

use libc::{c_int, c_void, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The number of descriptors for which the side that opened the connection is stored; higher ones count as accepted.
const TRACKED_DESCRIPTORS: usize = 65_536;
const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

/// The settings from `OCHREWARD_SHIM` and the state of the random generator.
struct FaultPlan {
    per_mille: u64,
    faults_from_ms: i64,
    faults_to_ms: i64,
    clock_step_at_ms: i64,
    clock_step_ms: i64,
    started_ms: i64,
    state: AtomicU64,
}

static FAULT_PLAN: OnceLock<FaultPlan> = OnceLock::new();
static OPENED_BY_PROCESS: [AtomicBool; TRACKED_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];

fn parse_setting(text: &str, name: &str) -> i64 {
    let value = text.split(';').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn fault_plan() -> &'static FaultPlan {
    FAULT_PLAN.get_or_init(|| {
        let text = std::env::var("OCHREWARD_SHIM").unwrap_or_default();
        FaultPlan {
            per_mille: parse_setting(&text, "per_mille") as u64,
            faults_from_ms: parse_setting(&text, "from_ms"),
            faults_to_ms: parse_setting(&text, "to_ms"),
            clock_step_at_ms: parse_setting(&text, "step_at_ms"),
            clock_step_ms: parse_setting(&text, "step_ms"),
            started_ms: monotonic_ms(),
            state: AtomicU64::new(parse_setting(&text, "seed") as u64 | 1),
        }
    })
}

fn clock_gettime_syscall(clock: c_int, out: *mut timespec) -> c_int {
    // Uses the system call directly, because this library replaces the C library's function.
    unsafe { libc::syscall(libc::SYS_clock_gettime, clock, out) as c_int }
}

fn monotonic_ms() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    clock_gettime_syscall(libc::CLOCK_MONOTONIC, &mut now);
    now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS
}

/// Returns the next random number below `bound`, from the process's seed (splitmix64).
fn draw(fault_plan: &FaultPlan, bound: u64) -> u64 {
    let mut z = fault_plan.state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) % bound
}

/// Decides whether a call fails, and returns one of these errors if so.
fn draw_fault(errors: &[c_int]) -> Option<c_int> {
    let fault_plan = fault_plan();
    let now = monotonic_ms() - fault_plan.started_ms;
    let fails = fault_plan.per_mille > 0
        && (fault_plan.faults_from_ms..fault_plan.faults_to_ms).contains(&now)
        && draw(fault_plan, 1_000) < fault_plan.per_mille
        && !errors.is_empty();
    fails.then(|| errors[draw(fault_plan, errors.len() as u64) as usize])
}

fn fail(error: c_int) -> c_int {
    // The C library's errno of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn set_opened_by_process(fd: c_int, opened_by_process: bool) {
    if let Some(cell) = usize::try_from(fd).ok().and_then(|fd| OPENED_BY_PROCESS.get(fd)) {
        cell.store(opened_by_process, Ordering::Relaxed);
    }
}

fn opened_by_process(fd: c_int) -> bool {
    let cell = usize::try_from(fd).ok().and_then(|fd| OPENED_BY_PROCESS.get(fd));
    cell.is_some_and(|cell| cell.load(Ordering::Relaxed))
}

/// Returns half of a length, and at least one byte, for three quarters of the calls that are selected to fail; the whole length for
/// all others.
fn maybe_shorten(length: usize) -> usize {
    let fault_plan = fault_plan();
    match draw_fault(&[libc::EINTR]) {
        Some(_) if length > 1 && draw(fault_plan, 4) > 0 => length / 2,
        _ => length,
    }
}

/// Returns whether a descriptor is a datagram socket, whose messages must not be shortened.
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
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, out: *mut timespec) -> c_int {
    let result = clock_gettime_syscall(clock, out);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let fault_plan = fault_plan();
        if fault_plan.clock_step_ms != 0
            && monotonic_ms() - fault_plan.started_ms >= fault_plan.clock_step_at_ms
        {
            let time = unsafe { &mut *out };
            let total = time.tv_sec * NS_PER_S + time.tv_nsec + fault_plan.clock_step_ms * NS_PER_MS;
            time.tv_sec = total.div_euclid(NS_PER_S);
            time.tv_nsec = total.rem_euclid(NS_PER_S);
        }
    }
    result
}

/// See `socket(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(family: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = draw_fault(&[libc::ENFILE, libc::ENOBUFS]) {
        return fail(error);
    }
    let fd = unsafe { libc::syscall(libc::SYS_socket, family, kind, protocol) as c_int };
    set_opened_by_process(fd, false);
    fd
}

/// See `connect(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    if let Some(error) = draw_fault(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS]) {
        return fail(error);
    }
    set_opened_by_process(fd, !is_datagram(fd));
    unsafe { libc::syscall(libc::SYS_connect, fd, to, size) as c_int }
}

/// See `accept4(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // In Linux ECONNABORTED removes a connection from the queue; here the connection stays queued, so that no client is affected.
    if let Some(error) = draw_fault(&[libc::EINTR, libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS]) {
        return fail(error);
    }
    let accepted = unsafe { libc::syscall(libc::SYS_accept4, fd, from, size, flags) as c_int };
    set_opened_by_process(accepted, false);
    accepted
}

/// Returns the errors with which a call on a socket may fail.
fn socket_errors(fd: c_int) -> &'static [c_int] {
    match (is_datagram(fd), opened_by_process(fd)) {
        (true, _) => &[libc::EINTR, libc::ENOBUFS, libc::ENETUNREACH, libc::EHOSTUNREACH],
        (false, true) => &[libc::EINTR, libc::EINTR, libc::EINTR, libc::ETIMEDOUT, libc::EHOSTUNREACH],
        (false, false) => &[libc::EINTR],
    }
}

/// See `send(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, data: *const c_void, size: usize, flags: c_int) -> ssize_t {
    if let Some(error) = draw_fault(socket_errors(fd)) {
        return fail(error) as ssize_t;
    }
    let size = if is_datagram(fd) { size } else { maybe_shorten(size) };
    let (to, none) = (std::ptr::null::<sockaddr>(), 0);
    unsafe { libc::syscall(libc::SYS_sendto, fd, data, size, flags, to, none) as ssize_t }
}

/// See `recv(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, data: *mut c_void, size: usize, flags: c_int) -> ssize_t {
    if let Some(error) = draw_fault(socket_errors(fd)) {
        return fail(error) as ssize_t;
    }
    let size = if is_datagram(fd) { size } else { maybe_shorten(size) };
    let (from, none) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, data, size, flags, from, none) as ssize_t }
}

/// See `epoll_wait(2)`.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    wait_ms: c_int,
) -> c_int {
    if let Some(error) = draw_fault(&[libc::EINTR]) {
        return fail(error);
    }
    let (mask, size) = (std::ptr::null::<c_void>(), 0usize);
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, wait_ms, mask, size) as c_int }
}

/// See `write(2)`. Only writes to regular files fail, as on a full or faulty disk.
///
/// # Safety
/// The same as for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, data: *const c_void, size: usize) -> ssize_t {
    let mut state: libc::stat = unsafe { std::mem::zeroed() };
    let file = unsafe { libc::fstat(fd, &mut state) } == 0 && state.st_mode & libc::S_IFMT == libc::S_IFREG;
    let mut size = size;
    // Standard output and standard error are excluded, because the soak reads them as its record.
    if file && fd > 2 {
        if let Some(error) = draw_fault(&[libc::ENOSPC, libc::EIO, libc::EINTR]) {
            return fail(error) as ssize_t;
        }
        size = maybe_shorten(size);
    }
    unsafe { libc::syscall(libc::SYS_write, fd, data, size) as ssize_t }
}
