//! Callers that send while a process is stopped, so that the kernel holds what they have sent.
//!
//! Guards against a fault that was observed: on a host with 160 MB, a gateway that did not keep up with
//! 2,800 callers held 106 MB itself and the kernel 199 MB for it. Bytes that have been received and not yet
//! read count as memory of the process on some hosts.
//!
//! A process that is stopped reads nothing, however fast its host is.

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

use super::answer;
use super::crowd::Crowd;
use super::Case;
use super::Subject;
use crate::process_stats;

/// Callers of a crowd. The kernel held up to 124 kB for each.
pub(super) const STOPPED_CALLERS: usize = 480;

/// When a process is stopped.
#[derive(Debug, Clone, Copy)]
pub(super) enum Stop {
    /// Before the callers connect, so that their connections are not accepted.
    BeforeConnecting,
    /// After it has read their heads.
    AfterHeads,
}

/// Stops a process until dropped.
struct Stopped(Pid);

impl Stopped {
    fn new(pid: u32) -> Self {
        let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let pid = pid.expect("the id of a process");
        kill_process(pid, Signal::STOP).expect("the process runs");
        Self(pid)
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        // The process may have been ended by the host.
        let _ = kill_process(self.0, Signal::CONT);
    }
}

impl Subject {
    /// Runs a case in which the process is stopped while the crowd sends; returns what is wrong.
    pub(super) fn check_stopped(&self, case: &Case, stop: Stop) -> Vec<String> {
        let (mut peak_kb, mut peak_unread_kb, mut peak_descriptors) = (0, 0, 0);
        let mut observe = || {
            let unread_kb = process_stats::received_bytes(self.addr) / 1_024;
            let resident_kb = process_stats::resident_kb(self.pid).unwrap_or_default();
            peak_kb = peak_kb.max(resident_kb + unread_kb);
            peak_unread_kb = peak_unread_kb.max(unread_kb);
            let count = process_stats::descriptor_count(self.pid).unwrap_or_default();
            peak_descriptors = peak_descriptors.max(count);
        };
        let mut faults = Vec::new();
        let mut expect_answer = |when: &str, request: &[u8]| {
            let found = answer(self.addr, request).err();
            faults.extend(found.map(|found| format!("{when}: {found}")));
        };
        expect_answer("a body of the largest legal size in calm", &case.largest);
        let (mut crowd, stopped) = match stop {
            Stop::BeforeConnecting => {
                let stopped = Stopped::new(self.pid);
                (Crowd::connect(self.addr, case.callers), stopped)
            }
            Stop::AfterHeads => {
                let mut crowd = Crowd::connect(self.addr, case.callers);
                crowd.send(&case.script.head_only(), &mut observe);
                self.wait_until_received(&mut observe);
                (crowd, Stopped::new(self.pid))
            }
        };
        crowd.send(&case.script, &mut observe);
        drop(stopped);
        crowd.send(&case.script, &mut observe);
        self.wait_until_received(&mut observe);
        let summary = crowd.summary(&case.script);
        drop(crowd);
        expect_answer("an ordinary request after the crowd left", &case.ordinary);
        observe();
        println!(
            "{}, stopped {stop:?}: {peak_kb} kB, {peak_unread_kb} of them unread at most, \
             {peak_descriptors} descriptors; {summary}",
            case.name
        );
        faults.extend(self.excesses(peak_kb, peak_descriptors));
        let faults = faults.into_iter();
        faults
            .map(|fault| format!("{}, stopped {stop:?}: {fault}", case.name))
            .collect()
    }
}
