//! Requests that were on backend servers which died: struck, set apart, refused, cleared.

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
use crate::published::Mark;

/// Milliseconds since the Unix epoch.
pub(super) type UnixMillis = u64;

/// Time between two sweeps of what is no longer remembered.
const SWEEP_EVERY: Duration = Duration::from_secs(10);

impl Decider {
    pub(super) fn unix_millis(&self) -> UnixMillis {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        UnixMillis::try_from(millis).unwrap_or(UnixMillis::MAX)
    }

    /// What is held against a fingerprint at this moment.
    pub(super) fn suspect_standing(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        self.suspects.status(fingerprint, self.unix_millis())
    }

    /// Learns from the end of an attempt: a death strikes, a whole run clears.
    pub(super) fn learn(&mut self, report: &Report, began: Option<UnixMillis>) {
        let now = self.unix_millis();
        let news = if report.server_down {
            log::warn!(
                server = report.server.as_str(), account = report.account.as_str(),
                fingerprint = format!("{:016x}", report.fingerprint).as_str();
                "a backend server died under a request"
            );
            let before = self.suspect_standing(report.fingerprint);
            let death = death_of(report, began.unwrap_or(now));
            let news = self.suspects.server_died(&death, now);
            self.observe_death(report, before);
            news
        } else if report.result == AttemptResult::Abandoned {
            self.suspects
                .attempts_abandoned(&death_of(report, began.unwrap_or(now)), now)
        } else if report.result == AttemptResult::Done {
            let began = began.unwrap_or(now);
            self.suspects.completed(report.fingerprint, began, now)
        } else {
            return;
        };
        self.spread(&news, None);
    }

    /// Takes records of another router, and passes on what was new.
    pub(super) fn peer_suspects(&mut self, from: &Member, message: &Message) {
        let now = self.unix_millis();
        let news = self.suspects.merge(message, now);
        self.spread(&news, Some(from));
    }

    /// Acts on new records and tells the peers, but not the one they came from.
    fn spread(&mut self, news: &Message, from: Option<&Member>) {
        if news.is_empty() {
            return;
        }
        let others = self
            .links
            .keys()
            .filter(|host| from.is_none_or(|from| from.host != **host));
        for host in others {
            self.wires.send(host, &PeerMessage::Suspects(news.clone()));
        }
        self.publish_marks();
        for strike in &news.strikes {
            self.set_apart(strike.fingerprint);
        }
    }

    /// Waiting requests with a struck fingerprint run apart, or not at all.
    fn set_apart(&mut self, fingerprint: Fingerprint) {
        match self.suspect_standing(fingerprint) {
            FingerprintStatus::Clear => {}
            FingerprintStatus::Suspect => self.suspect_waiting(fingerprint),
            FingerprintStatus::Refused { .. } => {
                self.refuse_waiting(fingerprint, ErrorCode::Poison)
            }
        }
    }

    /// Tells a peer whose link has come up what is known here.
    pub(super) fn tell_suspects(&self, host: &str) {
        for message in self.suspects.snapshot() {
            self.wires
                .send(&host.to_owned(), &PeerMessage::Suspects(message));
        }
    }

    /// Forgets what is old and shows the rest to the front.
    pub(super) fn sweep_suspects(&mut self, now: Mono) {
        self.next_sweep = now + SWEEP_EVERY;
        self.suspects.expire(self.unix_millis());
        self.publish_marks();
    }

    fn publish_marks(&self) {
        let now = self.clock.now();
        let listed = self.suspects.list(self.unix_millis());
        let marks: BTreeMap<Fingerprint, Mark> = listed
            .into_iter()
            .filter_map(|one| Some((one.fingerprint, mark_of(one.status, now)?)))
            .collect();
        self.published.set_marks(marks);
    }

    /// Takes back everything held against a fingerprint; `false` if nothing is.
    pub(super) fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let held = self.suspect_standing(fingerprint) != FingerprintStatus::Clear;
        let news = self.suspects.lift(fingerprint, self.unix_millis());
        self.spread(&news, None);
        held
    }

    /// What is held against requests, for operators.
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

fn mark_of(standing: FingerprintStatus, now: Mono) -> Option<Mark> {
    match standing {
        FingerprintStatus::Clear => None,
        FingerprintStatus::Suspect => Some(Mark::Suspect),
        FingerprintStatus::Refused { retry_after } => Some(Mark::RefusedUntil(now + retry_after)),
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
