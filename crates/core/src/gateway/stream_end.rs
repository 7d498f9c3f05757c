//! Prediction of when a stream ends, and whether another engine would end it in time.
//!
//! An engine that slows down, or gets more requests than it runs well, sends its events at a lower
//! rate without a pause that is long enough to count as a stall. Its streams then end after their
//! deadlines although other engines would end them in time.
//!
//! The end at the present pace is the time per event of the last events times the events that are
//! left by the caller's length hint. The hint is right only in the median. A stream is therefore
//! continued elsewhere only if both predictions, which share the hint, differ clearly: here it ends
//! after the deadline, and elsewhere before it.

use std::collections::{HashMap, VecDeque};

use crate::clock::Instant;
use crate::num;

/// Number of the last intervals between events that the present pace is the mean of.
const WINDOW: usize = 16;
/// Number of the newest intervals that must be slow as well. A stream that was slow and has
/// recovered is left where it is.
const NEWEST: usize = 4;
/// Minimum number of intervals for a prediction that is sure enough to act on.
const MIN_INTERVALS: usize = 8;
/// Share of the time left by which a predicted end must be before or after the deadline.
const MARGIN: f64 = 0.2;
/// What a stream that has passed its hint is expected to send further, as a share of what it has
/// sent.
const FURTHER_SHARE: f64 = 0.5;
/// Milliseconds between two looks for another engine: what is known of the engines changes with the
/// reports of other nodes.
const LOOK_INTERVAL_MS: u64 = 250;
/// Milliseconds without a look after an attempt was refused. Each refusal is counted and logged, and
/// budgets regain attempts within seconds.
const REFUSED_MS: u64 = 1_000;

/// Minimum number of samples from which it is known what is usual.
const MIN_SAMPLES: u32 = 4;
/// Weight of the newest sample in what is usual, once there are many.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;
/// Maximum number of classes of streams. Callers may name models, so their number has no bound.
const MAX_CLASSES: usize = 1_024;

/// What is stated of the length of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Length {
    hint: Option<u32>,
    max: Option<u32>,
    event_tokens: u32,
}

impl Length {
    /// Creates a length from a hint and a maximum in tokens, and the tokens in an event. Zero says
    /// nothing; an event of unknown size has one token.
    #[must_use]
    pub fn new(hint: Option<u32>, max: u32, event_tokens: Option<u32>) -> Self {
        Self {
            hint: hint.filter(|tokens| *tokens > 0),
            max: Some(max).filter(|tokens| *tokens > 0),
            event_tokens: event_tokens.unwrap_or(1).max(1),
        }
    }

    /// Returns the expected number of tokens that follow `events` events.
    #[must_use]
    pub fn tokens_left(&self, events: u64) -> f64 {
        let sent = float(events) * f64::from(self.event_tokens);
        let hinted = self.hint.map_or(0.0, |tokens| f64::from(tokens) - sent);
        let left = if hinted > 0.0 {
            hinted
        } else {
            sent * FURTHER_SHARE
        };
        let max_left = self.max.map_or(left, |tokens| f64::from(tokens) - sent);
        left.min(max_left.max(0.0))
    }

    /// Returns the expected number of events that follow `events` events.
    #[must_use]
    pub fn events_left(&self, events: u64) -> f64 {
        self.tokens_left(events) / f64::from(self.event_tokens)
    }
}

/// Time between two receipts of events.
#[derive(Clone, Copy, Debug)]
struct Interval {
    millis: f64,
    events: f64,
}

impl Interval {
    fn per_event(&self) -> f64 {
        self.millis / self.events
    }
}

/// Intervals between the last events of one server.
#[derive(Clone, Debug, Default)]
struct Pace {
    last_at: Option<Instant>,
    intervals: VecDeque<Interval>,
    count: usize,
}

impl Pace {
    /// Records that `events` events were received.
    fn observe(&mut self, now: Instant, events: u64) {
        let Some(last_at) = self.last_at.replace(now) else {
            return;
        };
        if self.intervals.len() == WINDOW {
            self.intervals.pop_front();
        }
        self.count += 1;
        self.intervals.push_back(Interval {
            millis: millis(last_at, now),
            events: float(events.max(1)),
        });
    }

    /// Returns the mean milliseconds per event of the last `count` intervals.
    fn mean_ms(&self, count: usize) -> f64 {
        let (mut millis, mut events) = (0.0, 0.0);
        for interval in self.intervals.iter().rev().take(count) {
            millis += interval.millis;
            events += interval.events;
        }
        millis / f64::max(events, 1.0)
    }

    /// Returns a lower bound of the milliseconds per event: the mean less its standard error, so that one
    /// long pause is no slow pace, and at most that of the newest events.
    fn low_ms(&self, mean_ms: f64) -> f64 {
        let count = num::float(self.intervals.len());
        let squares = self.intervals.iter().map(|interval| {
            let difference = interval.per_event() - mean_ms;
            difference * difference
        });
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        let error = (variance / count.max(1.0)).sqrt();
        (mean_ms - error).clamp(0.0, self.mean_ms(NEWEST))
    }
}

/// When a stream is predicted to end at its present pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// When it was made.
    pub at: Instant,
    /// Expected number of events until the end.
    pub events_left: f64,
    /// Milliseconds per event.
    pub event_ms: f64,
    /// Lower bound of the milliseconds per event.
    pub low_event_ms: f64,
    /// Number of intervals that it is made from.
    pub samples: usize,
}

impl Prediction {
    /// Returns the predicted end.
    #[must_use]
    pub fn end(&self) -> Instant {
        self.at + num::seconds(self.events_left * self.event_ms / 1_000.0)
    }

    /// Returns whether the stream surely ends after `deadline`.
    #[must_use]
    pub fn is_late(&self, deadline: Instant) -> bool {
        let left_ms = millis(self.at, deadline);
        let low_ms = self.events_left * self.low_event_ms;
        self.samples >= MIN_INTERVALS && low_ms > left_ms * (1.0 + MARGIN)
    }

    /// Returns whether the stream would surely end before `deadline` at another engine that performs
    /// as in `elsewhere`, and does not here.
    #[must_use]
    pub fn is_saved(&self, deadline: Instant, elsewhere: Expected) -> bool {
        let left_ms = millis(self.at, deadline);
        let elsewhere_ms = elsewhere.first_ms + self.events_left * elsewhere.event_ms;
        self.is_late(deadline) && elsewhere_ms < left_ms * (1.0 - MARGIN)
    }
}

/// How an engine is expected to perform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// Milliseconds to the first event.
    pub first_ms: f64,
    /// Milliseconds per further event.
    pub event_ms: f64,
}

/// The progress of one stream, across the servers that send it.
#[derive(Clone, Debug)]
pub struct Progress {
    length: Length,
    events: u64,
    pace: Pace,
    is_continued: bool,
    next_look: Instant,
}

impl Progress {
    /// Creates the progress of a stream of which the caller has received `events` events before.
    #[must_use]
    pub fn new(length: Length, events: u64) -> Self {
        Self {
            length,
            events,
            pace: Pace::default(),
            is_continued: false,
            next_look: Instant::ORIGIN,
        }
    }

    /// Records that `events` events were received. Returns the mean milliseconds per event whenever
    /// enough further intervals have been recorded.
    pub fn observe(&mut self, now: Instant, events: u64) -> Option<f64> {
        self.events = self.events.saturating_add(events);
        self.pace.observe(now, events);
        let count = self.pace.count;
        let is_enough = count > 0 && count.is_multiple_of(MIN_INTERVALS);
        is_enough.then(|| self.pace.mean_ms(MIN_INTERVALS))
    }

    /// Records that the caller accepted the last events only at `now`. The wait for the caller says
    /// nothing of the server.
    pub fn exclude_until(&mut self, now: Instant) {
        self.pace.last_at = self.pace.last_at.map(|_| now);
    }

    /// Records that another server sends the stream from now on.
    pub fn restart(&mut self) {
        self.pace = Pace::default();
    }

    /// Records that the stream is continued elsewhere as it is late, which happens at most once.
    pub fn mark_continued(&mut self) {
        self.is_continued = true;
    }

    /// Records that no attempt was allowed.
    pub fn delay_look(&mut self, now: Instant) {
        self.next_look = now.plus_millis(REFUSED_MS);
    }

    /// Returns whether the stream has been continued elsewhere as it was late.
    #[must_use]
    pub const fn is_continued(&self) -> bool {
        self.is_continued
    }

    /// Returns the expected number of tokens until the end.
    #[must_use]
    pub fn tokens_left(&self) -> f64 {
        self.length.tokens_left(self.events)
    }

    /// Predicts the end at the present pace; `None` before there is one.
    #[must_use]
    pub fn predict(&self, now: Instant) -> Option<Prediction> {
        if self.pace.intervals.is_empty() {
            return None;
        }
        let event_ms = self.pace.mean_ms(WINDOW);
        Some(Prediction {
            at: now,
            events_left: self.length.events_left(self.events),
            event_ms,
            low_event_ms: self.pace.low_ms(event_ms),
            samples: self.pace.intervals.len(),
        })
    }

    /// Returns a prediction by which the stream is late, if an engine with the `usual` performance
    /// would end it in time and it is time to look for one.
    pub fn look(
        &mut self,
        now: Instant,
        deadline: Instant,
        usual: impl FnOnce() -> Option<Expected>,
    ) -> Option<Prediction> {
        let is_due = !self.is_continued && now >= self.next_look;
        if !is_due || self.pace.intervals.len() < MIN_INTERVALS {
            return None;
        }
        let prediction = self.predict(now)?;
        if !prediction.is_late(deadline) || !prediction.is_saved(deadline, usual()?) {
            return None;
        }
        self.next_look = now.plus_millis(LOOK_INTERVAL_MS);
        Some(prediction)
    }
}

/// A mean whose first samples weigh equally.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    millis: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, millis: f64) {
        self.count = self.count.saturating_add(1);
        let weight = f64::from(self.count).recip().max(NEWEST_WEIGHT);
        self.millis += weight * (millis - self.millis);
    }

    fn get(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then_some(self.millis)
    }
}

/// Usual performance of the engines for one class of streams. Streams that end late count as well, or
/// a service whose engines are all slow would seem fast.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    first: Mean,
    event: Mean,
}

/// Usual performance of engines, by the class of the stream: its service and model.
#[derive(Clone, Debug, Default)]
pub struct Usuals {
    classes: HashMap<u64, Usual>,
}

impl Usuals {
    /// Records the milliseconds from an attempt to its first event.
    pub fn observe_first(&mut self, class: u64, millis: f64) {
        if let Some(usual) = self.class(class) {
            usual.first.add(millis);
        }
    }

    /// Records mean milliseconds per event, from [`Progress::observe`].
    pub fn observe_events(&mut self, class: u64, millis: f64) {
        if let Some(usual) = self.class(class) {
            usual.event.add(millis);
        }
    }

    /// Returns the usual performance; `None` if too little has been seen.
    #[must_use]
    pub fn get(&self, class: u64) -> Option<Expected> {
        let usual = self.classes.get(&class)?;
        Some(Expected {
            first_ms: usual.first.get()?,
            event_ms: usual.event.get()?,
        })
    }

    fn class(&mut self, class: u64) -> Option<&mut Usual> {
        let is_known = self.classes.contains_key(&class);
        if !is_known && self.classes.len() >= MAX_CLASSES {
            return None;
        }
        Some(self.classes.entry(class).or_default())
    }
}

fn millis(from: Instant, to: Instant) -> f64 {
    to.since(from).as_secs_f64() * 1_000.0
}

fn float(count: u64) -> f64 {
    num::float(usize::try_from(count).unwrap_or(usize::MAX))
}
