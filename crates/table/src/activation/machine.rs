//! The rules by which a candidate comes into force.

use std::sync::Arc;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::id::HostId;

use super::Accepted;
use super::Action;
use super::Conflict;
use super::DocumentContent;
use super::DocumentStatus;
use super::Event;
use super::RawDocument;
use super::Rejected;
use super::Report;
use super::Source;
use super::StoreBehind;
use super::FETCH_TIMEOUT;
use crate::header;
use crate::header::Header;
use crate::ini::FaultCollector;
use crate::ini::FaultKind;

/// A fetch under way.
#[derive(Debug)]
struct Fetch {
    header: Header,
    asked: Mono,
}

/// What came of a candidate.
struct Checked<T> {
    /// Its header, if that could be read.
    header: Option<Header>,
    /// Whether it has no faults.
    valid: bool,
    actions: Vec<Action<T>>,
}

/// The document in force at one router, and what is known against it.
#[derive(Debug)]
pub struct ActiveDocument<T> {
    name: String,
    current: Option<Arc<Accepted<T>>>,
    fetch: Option<Fetch>,
    rejected: Option<Rejected>,
    conflict: Option<Conflict>,
    behind: Option<StoreBehind>,
}

impl<T: DocumentContent> ActiveDocument<T> {
    /// Starts with nothing in force; `name` is what faults call the document.
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

    /// Returns the document in force.
    pub fn current(&self) -> Option<&Arc<Accepted<T>>> {
        self.current.as_ref()
    }

    /// Returns the generation in force; 0 for none.
    pub fn generation(&self) -> Generation {
        self.header().map_or(0, |header| header.generation)
    }

    /// Returns what `status` shows.
    pub fn status(&self) -> DocumentStatus {
        DocumentStatus {
            header: self.header(),
            rejected: self.rejected.clone(),
            conflict: self.conflict.clone(),
            behind: self.behind.clone(),
        }
    }

    /// Takes what was heard; returns what is to be done, in order.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action<T>> {
        match event {
            Event::Store { asked, value } => self.on_store(asked, value),
            Event::Peer { host, header } => self.on_peer(host, header, now),
            Event::Fetched { host, value } => {
                self.fetch = None;
                self.consider(Source::Peer(host), value).actions
            }
        }
    }

    fn header(&self) -> Option<Header> {
        self.current.as_ref().map(|current| current.header)
    }

    fn on_store(&mut self, asked: Generation, value: Option<RawDocument>) -> Vec<Action<T>> {
        let Some(value) = value else {
            self.forget_rejected(&Source::Store);
            return self.compare(asked, None).into_iter().collect();
        };
        let mut checked = self.consider(Source::Store, value);
        if checked.valid {
            self.forget_rejected(&Source::Store);
        }
        // What cannot be read says nothing about what the service has kept.
        if let Some(shown) = checked.header {
            checked.actions.extend(self.compare(asked, Some(shown)));
        }
        checked.actions
    }

    fn on_peer(&mut self, host: HostId, header: Header, now: Mono) -> Vec<Action<T>> {
        if self.current.is_some() && header.generation <= self.generation() {
            return self.same_generation(Source::Peer(host), header);
        }
        let refused = self.rejected.as_ref().and_then(|known| known.header);
        let waiting = self.fetch.as_ref().is_some_and(|fetch| {
            fetch.header.generation >= header.generation && now < fetch.asked + FETCH_TIMEOUT
        });
        if refused == Some(header) || waiting {
            return Vec::new();
        }
        self.fetch = Some(Fetch { header, asked: now });
        vec![Action::Fetch(host)]
    }

    /// Takes a candidate if the rules allow.
    fn consider(&mut self, source: Source, value: RawDocument) -> Checked<T> {
        let Ok(text) = String::from_utf8(value) else {
            let mut out = FaultCollector::new(&self.name);
            let expected = "text in UTF-8";
            out.report(FaultKind::Syntax, header::whole(), expected, "other bytes");
            return Checked {
                header: None,
                valid: false,
                actions: self.reject(source, None, out),
            };
        };
        // The header alone tells most candidates apart, long before a large table is read.
        let header = header::peek(&text);
        if header.is_some() && header == self.header() {
            return Checked {
                header,
                valid: true,
                actions: Vec::new(),
            };
        }
        match T::parse(&self.name, &text) {
            Err(faults) => Checked {
                header,
                valid: false,
                actions: self.keep_rejected(Rejected {
                    source,
                    header,
                    faults,
                }),
            },
            Ok((header, content)) => Checked {
                header: Some(header),
                valid: true,
                actions: self.offer(source, header, content, text),
            },
        }
    }

    fn offer(
        &mut self,
        source: Source,
        header: Header,
        content: T,
        text: String,
    ) -> Vec<Action<T>> {
        if self.current.is_some() && header.generation <= self.generation() {
            return self.same_generation(source, header);
        }
        let accepted = Arc::new(Accepted {
            header,
            content: Arc::new(content),
            text,
        });
        self.current = Some(Arc::clone(&accepted));
        self.conflict = None;
        let refused = self.rejected.as_ref().and_then(|known| known.header);
        if refused.is_none_or(|refused| refused.generation <= header.generation) {
            self.rejected = None;
        }
        vec![Action::Use(accepted)]
    }

    /// Reports a document that differs from the one in force under the same generation.
    fn same_generation(&mut self, source: Source, other: Header) -> Vec<Action<T>> {
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

    /// Compares what the service shows with what was in force when it was asked.
    ///
    /// The service's reads are linearizable, and what was in force had been accepted there. So an
    /// older generation means a loss, but only if it was in force before the read began: a reply
    /// may cross a newer document that a peer has handed over.
    fn compare(&mut self, asked: Generation, shown: Option<Header>) -> Option<Action<T>> {
        let kept = self.header()?;
        let generation = shown.map_or(0, |shown| shown.generation);
        if generation >= kept.generation {
            let was = self.behind.take()?;
            let restored = shown.unwrap_or(was.kept);
            return Some(Action::Report(Report::Restored(restored)));
        }
        if generation >= asked {
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
        out: FaultCollector,
    ) -> Vec<Action<T>> {
        match out.finish::<()>(None) {
            Ok(()) => Vec::new(),
            Err(faults) => self.keep_rejected(Rejected {
                source,
                header,
                faults,
            }),
        }
    }

    /// Drops a rejected document whose place has been taken by the one in force.
    fn forget_rejected(&mut self, source: &Source) {
        let known = self.rejected.as_ref();
        if known.is_some_and(|known| known.source == *source) {
            self.rejected = None;
        }
    }

    fn keep_rejected(&mut self, rejected: Rejected) -> Vec<Action<T>> {
        let known = self.rejected.as_ref();
        if known.is_some_and(|known| known.faults == rejected.faults) {
            return Vec::new();
        }
        self.rejected = Some(rejected.clone());
        vec![Action::Report(Report::Rejected(rejected))]
    }
}
