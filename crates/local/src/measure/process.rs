//! What this process uses, as the kernel counts it.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::time::Duration;

/// Number of a thread.
pub(crate) type ThreadId = u32;

/// Length of a tick in which the kernel counts processor time.
const TICK: Duration = Duration::from_millis(10);
/// Place of the user time behind the name of a thread, in fields.
const USER_FIELD: usize = 11;
/// Place of the system time.
const SYSTEM_FIELD: usize = 12;
/// Place of the start time.
const START_FIELD: usize = 19;

/// One thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Thread {
    /// Name.
    pub(crate) name: String,
    /// Start, in ticks since the machine began.
    pub(crate) started: u64,
    /// Processor time.
    pub(crate) time: Duration,
}

/// Reads all threads of this process.
pub(crate) fn threads() -> io::Result<BTreeMap<ThreadId, Thread>> {
    let mut threads = BTreeMap::new();
    for entry in fs::read_dir("/proc/self/task")? {
        let entry = entry?;
        let id = entry.file_name().to_string_lossy().parse();
        // A thread may end between the two reads.
        let stat = fs::read_to_string(entry.path().join("stat"));
        if let (Ok(id), Some(thread)) = (id, stat.ok().as_deref().and_then(parse)) {
            threads.insert(id, thread);
        }
    }
    Ok(threads)
}

/// Reads a line `pid (name) state ...`.
fn parse(stat: &str) -> Option<Thread> {
    let (head, tail) = stat.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let number = |place: usize| fields.get(place)?.parse::<u64>().ok();
    let ticks = number(USER_FIELD)? + number(SYSTEM_FIELD)?;
    Some(Thread {
        name: name.to_owned(),
        started: number(START_FIELD)?,
        time: TICK * u32::try_from(ticks).ok()?,
    })
}

/// Reads the resident size of this process, in bytes.
pub(crate) fn resident() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    let number = kilobytes.and_then(|text| text.parse::<u64>().ok());
    number
        .map(|kilobytes| kilobytes << 10)
        .ok_or_else(|| io::Error::other("no resident size in /proc/self/status"))
}

/// Reads how busy the machine is: the load average of the last minute.
pub(crate) fn load_average() -> io::Result<String> {
    let text = fs::read_to_string("/proc/loadavg")?;
    Ok(text.split(' ').next().unwrap_or_default().to_owned())
}
