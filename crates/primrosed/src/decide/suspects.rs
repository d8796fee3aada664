//! Tracks requests that ran on backend servers that died.
//!
//! A fingerprint that ran on a dying server gets a strike and runs apart from others; further
//! strikes make the router refuse it, and a completed run clears it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Mono;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::Member;
use primrose_core::outcome::ErrorCode;
use primrose_front::broker::Report;
use primrose_report::status::SuspectState;
use primrose_report::status::SuspectStatus;
use primrose_request::AttemptResult;
use primrose_suspect::Death;
use primrose_suspect::FingerprintStatus;
use primrose_suspect::InFlightAttempt;
use primrose_suspect::ListedSuspect;
use primrose_suspect::Message;

use crate::decide::Decider;
use crate::message::PeerMessage;
use crate::snapshots::Restriction;

/// Milliseconds since the Unix epoch.
pub(super) type UnixMillis = u64;

/// Interval between two removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

impl Decider {
    pub(super) fn unix_millis(&self) -> UnixMillis {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        UnixMillis::try_from(millis).unwrap_or(UnixMillis::MAX)
    }

    /// Returns the current status of a fingerprint.
    pub(super) fn suspect_status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        self.suspects.status(fingerprint, self.unix_millis())
    }

    /// Updates the register when an attempt ends: a server death adds a strike, a completed run
    /// clears the fingerprint.
    pub(super) fn record_attempt_end(&mut self, report: &Report, started_at: Option<UnixMillis>) {
        let now = self.unix_millis();
        let news = if report.server_down {
            log::warn!(
                server = report.server.as_str(), account = report.account.as_str(),
                fingerprint = format!("{:016x}", report.fingerprint).as_str();
                "a backend server died under a request"
            );
            let before = self.suspect_status(report.fingerprint);
            let death = death_of(report, started_at.unwrap_or(now));
            let news = self.suspects.server_died(&death, now);
            self.observe_death(report, before);
            news
        } else if report.result == AttemptResult::Abandoned {
            self.suspects
                .attempts_abandoned(&death_of(report, started_at.unwrap_or(now)), now)
        } else if report.result == AttemptResult::Done {
            let started_at = started_at.unwrap_or(now);
            self.suspects.completed(report.fingerprint, started_at, now)
        } else {
            return;
        };
        self.propagate(&news, None);
    }

    /// Merges records of another router, and forwards those that were new.
    pub(super) fn peer_suspects(&mut self, from: &Member, message: &Message) {
        let now = self.unix_millis();
        let news = self.suspects.merge(message, now);
        self.propagate(&news, Some(from));
    }

    /// Applies new records and forwards them to all peers except the one they came from.
    fn propagate(&mut self, news: &Message, from: Option<&Member>) {
        if news.is_empty() {
            return;
        }
        let others = self
            .links
            .keys()
            .filter(|host| from.is_none_or(|from| from.host != **host));
        for host in others {
            self.peer_links
                .send(host, &PeerMessage::Suspects(news.clone()));
        }
        self.publish_restrictions();
        for strike in &news.strikes {
            self.restrict_waiting(strike.fingerprint);
        }
    }

    /// Applies the status of a fingerprint to waiting requests: they run apart or are refused.
    fn restrict_waiting(&mut self, fingerprint: Fingerprint) {
        match self.suspect_status(fingerprint) {
            FingerprintStatus::Clear => {}
            FingerprintStatus::Suspect => self.suspect_waiting(fingerprint),
            FingerprintStatus::Refused { .. } => {
                self.refuse_waiting(fingerprint, ErrorCode::Poison)
            }
        }
    }

    /// Sends all records to a peer whose link has come up.
    pub(super) fn send_suspects(&self, host: &str) {
        for message in self.suspects.snapshot() {
            self.peer_links
                .send(&host.to_owned(), &PeerMessage::Suspects(message));
        }
    }

    /// Removes expired records and publishes the remaining restrictions.
    pub(super) fn sweep_suspects(&mut self, now: Mono) {
        self.next_sweep = now + SWEEP_INTERVAL;
        self.suspects.expire(self.unix_millis());
        self.publish_restrictions();
    }

    fn publish_restrictions(&self) {
        let now = self.clock.now();
        let listed = self.suspects.list(self.unix_millis());
        let restrictions: BTreeMap<Fingerprint, Restriction> = listed
            .into_iter()
            .filter_map(|one| Some((one.fingerprint, restriction_of(one.status, now)?)))
            .collect();
        self.snapshots.set_restrictions(restrictions);
    }

    /// Lifts the restriction of a fingerprint; returns `false` if it had none.
    pub(super) fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let was_restricted = self.suspect_status(fingerprint) != FingerprintStatus::Clear;
        let news = self.suspects.lift(fingerprint, self.unix_millis());
        self.propagate(&news, None);
        was_restricted
    }

    /// Returns the suspect fingerprints for operators.
    pub(super) fn suspect_list(&self) -> Vec<SuspectStatus> {
        let listed = self.suspects.list(self.unix_millis());
        listed.into_iter().map(status_of).collect()
    }
}

fn death_of(report: &Report, since: UnixMillis) -> Death {
    Death {
        server: report.server.clone(),
        run: 0,
        pool: report.pool.clone(),
        in_flight: vec![InFlightAttempt {
            attempt: report.attempt,
            fingerprint: report.fingerprint,
            account: report.account.clone(),
            route: report.route.clone(),
            since,
        }],
    }
}

fn restriction_of(status: FingerprintStatus, now: Mono) -> Option<Restriction> {
    match status {
        FingerprintStatus::Clear => None,
        FingerprintStatus::Suspect => Some(Restriction::Suspect),
        FingerprintStatus::Refused { retry_after } => {
            Some(Restriction::RefusedUntil(now + retry_after))
        }
    }
}

fn status_of(listed: ListedSuspect) -> SuspectStatus {
    let (state, expires) = match listed.status {
        FingerprintStatus::Refused { retry_after } => {
            (SuspectState::Refused, retry_after.as_secs())
        }
        FingerprintStatus::Clear | FingerprintStatus::Suspect => (SuspectState::Suspect, 0),
    };
    SuspectStatus {
        fingerprint: format!("{:016x}", listed.fingerprint),
        account: listed.account,
        route: listed.route,
        strikes: u32::try_from(listed.servers.len()).unwrap_or(u32::MAX),
        state,
        expires,
    }
}
