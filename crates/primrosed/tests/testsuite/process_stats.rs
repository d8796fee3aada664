//! Resources of a process under test, as the kernel reports them.

use std::net::IpAddr;
use std::net::SocketAddr;

/// Returns the peak of the process's resident memory in kilobytes; none if it has ended.
pub(crate) fn peak_memory_kb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().split(' ').next()?.parse().ok()
}

/// Returns the resident memory of the process in kilobytes; none if it has ended.
pub(crate) fn resident_kb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().split(' ').next()?.parse().ok()
}

/// Returns the number of open file descriptors of the process; none if it has ended.
pub(crate) fn descriptor_count(pid: u32) -> Option<usize> {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    Some(entries.count())
}

/// Returns whether the process runs. A child that has ended keeps its id until its parent waits for
/// it, so another process cannot be taken for it.
pub(crate) fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat
        .rsplit_once(") ")
        .and_then(|(_, rest)| rest.chars().next());
    state.is_some_and(|state| state != 'Z' && state != 'X')
}

/// Returns the processor time that the process has used, in ticks of the kernel; none if it has ended.
pub(crate) fn processor_ticks(pid: u32) -> Option<u64> {
    /// Places of the ticks in user and in kernel mode, after the name of the process.
    const PLACES: [usize; 2] = [11, 12];
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = PLACES.map(|place| fields.get(place)?.parse::<u64>().ok());
    Some(ticks[0]? + ticks[1]?)
}

/// Returns the bytes that were sent to a listener's connections and that its process has not read.
pub(crate) fn unread_bytes(listener: SocketAddr) -> u64 {
    let [unsent, received] = waiting_bytes(listener);
    unsent + received
}

/// Returns those of the unread bytes that the kernel holds for the process, in connections that it has
/// accepted or not.
pub(crate) fn received_bytes(listener: SocketAddr) -> u64 {
    let [_, received] = waiting_bytes(listener);
    received
}

/// Returns the bytes of a listener's connections that wait at their senders, and those that wait at the
/// listener's end.
fn waiting_bytes(listener: SocketAddr) -> [u64; 2] {
    /// State of a socket that listens; its queue counts connections.
    const LISTENING: &str = "0A";
    let IpAddr::V4(ip) = listener.ip() else {
        return [0; 2];
    };
    let wanted = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(ip.octets()),
        listener.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let waiting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, remote, state) = (fields.get(1)?, fields.get(2)?, fields.get(3)?);
        let (unsent, unread) = fields.get(4)?.split_once(':')?;
        let parse = |bytes| u64::from_str_radix(bytes, 16).ok();
        if *remote == wanted {
            Some([parse(unsent)?, 0])
        } else if *local == wanted && *state != LISTENING {
            Some([0, parse(unread)?])
        } else {
            None
        }
    };
    let sums = table.lines().filter_map(waiting);
    sums.fold([0; 2], |sum, more| [sum[0] + more[0], sum[1] + more[1]])
}
