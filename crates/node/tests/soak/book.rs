//! What was asked, run and answered, and the promises that were broken.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Servers that one request may run on.
pub const ATTEMPTS: usize = 3;
/// Milliseconds that callers wait.
pub const WAIT_MS: u64 = 3_000;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated.
    Look,
    /// Must run once at most.
    Pay,
    /// A stream that may be resumed.
    Talk,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Kind.
    pub kind: Kind,
    /// Node that it was sent to.
    pub node: usize,
    /// Body.
    pub body: String,
    /// When.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Page {
    asked: HashMap<String, Asked>,
    runs: HashMap<String, usize>,
    refused: HashMap<String, u16>,
    broken: Vec<String>,
    tally: Tally,
}

/// How much of what was seen in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Good answers.
    pub good: usize,
    /// Answers that said that nothing has run.
    pub refused: usize,
    /// Answers or ends that left open whether it has run, and failures of servers.
    pub unknown: usize,
    /// Requests to nodes that nothing had touched.
    pub calm: usize,
    /// Looks whether a configuration is in force.
    pub probes: usize,
}

/// The book of a run.
#[derive(Clone, Debug, Default)]
pub struct Book(Rc<RefCell<Page>>);

impl Book {
    /// Notes a request before it is sent.
    pub fn ask(&self, id: &str, asked: Asked) {
        self.0.borrow_mut().asked.insert(id.to_owned(), asked);
    }

    /// Notes that a backend server begins to run a request; returns its kind.
    pub fn run(&self, id: &str, body: &str, organisation: &str, left_ms: u64) -> Option<Kind> {
        let mut page = self.0.borrow_mut();
        let Some(asked) = page.asked.get(id).cloned() else {
            page.broken.push(format!("{id} runs and nobody asked"));
            return None;
        };
        if asked.body != body {
            page.broken.push(format!("{id} runs with another body"));
        }
        if organisation != "acme" {
            page.broken
                .push(format!("{id} runs for '{organisation}', not its caller"));
        }
        if left_ms > WAIT_MS {
            page.broken.push(format!(
                "{id} is given {left_ms} ms, more than its caller waits"
            ));
        }
        let runs = page.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > ATTEMPTS || asked.kind == Kind::Pay && runs > 1 {
            page.broken
                .push(format!("{id} ({:?}) runs {runs} times", asked.kind));
        }
        if let Some(status) = page.refused.get(id) {
            let line = format!("{id} runs after its caller was told {status}, not run");
            page.broken.push(line);
        }
        Some(asked.kind)
    }

    /// Notes that a caller was told that its request has not run.
    pub fn refuse(&self, id: &str, status: u16) {
        let mut page = self.0.borrow_mut();
        page.refused.insert(id.to_owned(), status);
        page.tally.refused += 1;
        if page.runs.contains_key(id) {
            let line = format!("{id} has run and its caller was told {status}, not run");
            page.broken.push(line);
        }
    }

    /// Whether a request has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.0.borrow().runs.contains_key(id)
    }

    /// What a request was.
    pub fn asked(&self, id: &str) -> Option<Asked> {
        self.0.borrow().asked.get(id).cloned()
    }

    /// Counts what was seen.
    pub fn count(&self, add: impl FnOnce(&mut Tally)) {
        add(&mut self.0.borrow_mut().tally);
    }

    /// What was seen so far.
    pub fn tally(&self) -> Tally {
        self.0.borrow().tally
    }

    /// Notes a broken promise.
    pub fn break_promise(&self, line: String) {
        self.0.borrow_mut().broken.push(line);
    }

    /// Broken promises.
    pub fn broken(&self) -> Vec<String> {
        self.0.borrow().broken.clone()
    }
}
