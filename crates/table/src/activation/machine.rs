//! The state machine that activates or rejects candidate documents.

use std::sync::Arc;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::id::HostId;

use super::AcceptedDocument;
use super::Action;
use super::Conflict;
use super::DocumentContent;
use super::DocumentStatus;
use super::Event;
use super::RawDocument;
use super::RejectedDocument;
use super::Report;
use super::Source;
use super::StoreBehind;
use super::FETCH_TIMEOUT;
use crate::header;
use crate::header::Header;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;

/// A document fetch in flight.
#[derive(Debug)]
struct Fetch {
    header: Header,
    started: Mono,
}

/// Result of evaluating a candidate document.
struct Evaluation<T> {
    /// Header of the candidate, if it could be parsed.
    header: Option<Header>,
    /// Whether the candidate has no faults.
    valid: bool,
    actions: Vec<Action<T>>,
}

/// The document in force on one router, with the rejected and conflicting candidates.
#[derive(Debug)]
pub struct ActiveDocument<T> {
    name: String,
    current: Option<Arc<AcceptedDocument<T>>>,
    fetch: Option<Fetch>,
    rejected: Option<RejectedDocument>,
    conflict: Option<Conflict>,
    behind: Option<StoreBehind>,
}

impl<T: DocumentContent> ActiveDocument<T> {
    /// Creates an instance with no document in force; faults name the document as `name`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            current: None,
            fetch: None,
            rejected: None,
            conflict: None,
            behind: None,
        }
    }

    /// Returns the document in force; `None` before the first activation.
    pub fn current(&self) -> Option<&Arc<AcceptedDocument<T>>> {
        self.current.as_ref()
    }

    /// Returns the generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.header().map_or(0, |header| header.generation)
    }

    /// Returns the state to show to operators.
    pub fn status(&self) -> DocumentStatus {
        DocumentStatus {
            header: self.header(),
            rejected: self.rejected.clone(),
            conflict: self.conflict.clone(),
            behind: self.behind.clone(),
        }
    }

    /// Processes an event and returns the actions to take, in order.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action<T>> {
        match event {
            Event::Store {
                generation_at_read,
                value,
            } => self.on_store(generation_at_read, value),
            Event::Peer { host, header } => self.on_peer(host, header, now),
            Event::Fetched { host, value } => {
                self.fetch = None;
                self.evaluate(Source::Peer(host), value).actions
            }
        }
    }

    fn header(&self) -> Option<Header> {
        self.current.as_ref().map(|current| current.header)
    }

    fn on_store(
        &mut self,
        generation_at_read: Generation,
        value: Option<RawDocument>,
    ) -> Vec<Action<T>> {
        let Some(value) = value else {
            self.clear_rejected(&Source::Store);
            return self
                .compare_with_store(generation_at_read, None)
                .into_iter()
                .collect();
        };
        let mut evaluation = self.evaluate(Source::Store, value);
        if evaluation.valid {
            self.clear_rejected(&Source::Store);
        }
        // An unreadable document does not show which generation the service holds.
        if let Some(shown) = evaluation.header {
            evaluation
                .actions
                .extend(self.compare_with_store(generation_at_read, Some(shown)));
        }
        evaluation.actions
    }

    fn on_peer(&mut self, host: HostId, header: Header, now: Mono) -> Vec<Action<T>> {
        if self.current.is_some() && header.generation <= self.generation() {
            return self.check_conflict(Source::Peer(host), header);
        }
        let rejected = self.rejected.as_ref().and_then(|known| known.header);
        let fetch_in_flight = self.fetch.as_ref().is_some_and(|fetch| {
            fetch.header.generation >= header.generation && now < fetch.started + FETCH_TIMEOUT
        });
        if rejected == Some(header) || fetch_in_flight {
            return Vec::new();
        }
        self.fetch = Some(Fetch {
            header,
            started: now,
        });
        vec![Action::Fetch(host)]
    }

    /// Validates a candidate and activates it if it is newer than the document in force.
    fn evaluate(&mut self, source: Source, value: RawDocument) -> Evaluation<T> {
        let Ok(text) = String::from_utf8(value) else {
            let mut faults = FaultCollector::new(&self.name);
            let expected = "text in UTF-8";
            faults.report(
                FaultKind::Syntax,
                header::whole_document(),
                expected,
                "other bytes",
            );
            return Evaluation {
                header: None,
                valid: false,
                actions: self.reject(source, None, faults),
            };
        };
        // Most candidates repeat the document in force; comparing headers avoids parsing them.
        let header = header::peek(&text);
        if header.is_some() && header == self.header() {
            return Evaluation {
                header,
                valid: true,
                actions: Vec::new(),
            };
        }
        match T::parse(&self.name, &text) {
            Err(faults) => Evaluation {
                header,
                valid: false,
                actions: self.record_rejected(RejectedDocument {
                    source,
                    header,
                    faults,
                }),
            },
            Ok((header, content)) => Evaluation {
                header: Some(header),
                valid: true,
                actions: self.activate_if_newer(source, header, content, text),
            },
        }
    }

    fn activate_if_newer(
        &mut self,
        source: Source,
        header: Header,
        content: T,
        text: String,
    ) -> Vec<Action<T>> {
        if self.current.is_some() && header.generation <= self.generation() {
            return self.check_conflict(source, header);
        }
        let accepted = Arc::new(AcceptedDocument {
            header,
            content: Arc::new(content),
            text,
        });
        self.current = Some(Arc::clone(&accepted));
        self.conflict = None;
        let rejected = self.rejected.as_ref().and_then(|known| known.header);
        if rejected.is_none_or(|rejected| rejected.generation <= header.generation) {
            self.rejected = None;
        }
        vec![Action::Activate(accepted)]
    }

    /// Reports a document that has the generation in force but another change id.
    fn check_conflict(&mut self, source: Source, other: Header) -> Vec<Action<T>> {
        let Some(kept) = self.header() else {
            return Vec::new();
        };
        if other.generation != kept.generation || other == kept {
            return Vec::new();
        }
        let known = self.conflict.as_ref().map(|known| known.other);
        if known == Some(other) {
            return Vec::new();
        }
        let conflict = Conflict {
            source,
            kept,
            other,
        };
        self.conflict = Some(conflict.clone());
        vec![Action::Report(Report::Conflict(conflict))]
    }

    /// Compares the document in the service with the one in force when the read began.
    ///
    /// Reads of the service are linearizable, and every document in force was accepted there. An
    /// older generation in the service therefore means lost changes, but only if the newer one was
    /// in force before the read began: a newer document may arrive from a peer during the read.
    fn compare_with_store(
        &mut self,
        generation_at_read: Generation,
        shown: Option<Header>,
    ) -> Option<Action<T>> {
        let kept = self.header()?;
        let generation = shown.map_or(0, |shown| shown.generation);
        if generation >= kept.generation {
            let previous = self.behind.take()?;
            let restored = shown.unwrap_or(previous.kept);
            return Some(Action::Report(Report::Restored(restored)));
        }
        if generation >= generation_at_read {
            return None;
        }
        let behind = StoreBehind { shown, kept };
        let known = self.behind.replace(behind.clone());
        (known.as_ref() != Some(&behind)).then_some(Action::Report(Report::Behind(behind)))
    }

    fn reject(
        &mut self,
        source: Source,
        header: Option<Header>,
        faults: FaultCollector,
    ) -> Vec<Action<T>> {
        match faults.finish::<()>(None) {
            Ok(()) => Vec::new(),
            Err(faults) => self.record_rejected(RejectedDocument {
                source,
                header,
                faults,
            }),
        }
    }

    /// Clears the rejected document if it came from this source, which has replaced it since.
    fn clear_rejected(&mut self, source: &Source) {
        let known = self.rejected.as_ref();
        if known.is_some_and(|known| known.source == *source) {
            self.rejected = None;
        }
    }

    fn record_rejected(&mut self, rejected: RejectedDocument) -> Vec<Action<T>> {
        let known = self.rejected.as_ref();
        if known.is_some_and(|known| known.faults == rejected.faults) {
            return Vec::new();
        }
        self.rejected = Some(rejected.clone());
        vec![Action::Report(Report::Rejected(rejected))]
    }
}
