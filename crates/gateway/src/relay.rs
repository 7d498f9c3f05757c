//! Relaying a stream of events, and going on at another server when it breaks.
//!
//! What reaches the caller ends with a whole event at any moment. When the server
//! breaks off or dies, and the route's streams may be resumed, the same model is
//! asked at another server to go on after the last event. The caller keeps the
//! first server's head. A stream that cannot go on is cut, so that it does not
//! look whole.
//!
//! A server that falls silent may still be at work: an engine that reads long prompts for others
//! makes a token in half a second. So another one is asked beside it. The silent one goes
//! on if it sends anything before the other's head is there, else the other does; where no
//! other can be asked, the silent one is waited for.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::routed::slowness::Pace;
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;
use hyper::body::{Frame, Incoming};

use crate::attempt::{self, Headed, Job, NotRun, Tried};
use crate::body::{Answer, Cut, Relayed};
use crate::clock::{deadline, now};
use crate::course;
use crate::events::Splitter;
use crate::judge;
use crate::node::Node;
use crate::pick::{self, Pick};
use crate::trials::Ended;

/// Frames that wait for a slow caller before the server is made to wait.
const FRAMES: usize = 16;
/// How many times the longest pause on time a server may be silent between events before another
/// is asked beside it.
const SILENCE: f64 = 1.6;
/// Events from which the time between them says something.
const FEWEST_EVENTS: u32 = 4;
/// Milliseconds of silence that are borne where the route states no longest pause.
const SILENCE_MS: u64 = 5_000;

struct Stream {
    node: Rc<Node>,
    job: Rc<Job>,
    service: Arc<str>,
    model: Option<usize>,
    sent: u32,
    tried: Vec<Arc<str>>,
    splitter: Splitter,
    /// Milliseconds of the longest pause between two events.
    pause_ms: f64,
    /// When the last event was passed on.
    passed: Option<Instant>,
}

/// What a server sends next: a frame, an error, or nothing more.
type Next = Option<Result<Frame<Bytes>, hyper::Error>>;

/// How one server's part of a stream ended.
enum Part {
    /// Whole.
    Done,
    /// The server broke off.
    Broken(String),
    /// The server fell silent, and another goes on.
    Overtaken(Box<Headed>),
    /// The caller has gone.
    Left,
}

/// Begins to relay.
pub fn begin(
    node: &Rc<Node>,
    job: &Rc<Job>,
    service: &Arc<str>,
    headed: Headed,
    model: Option<usize>,
    sent: u32,
) -> Response<Answer> {
    let status = headed.answered.response.status();
    let headers = headed.answered.response.headers().clone();
    let (sender, channel) = Channel::new(FRAMES);
    let stream = Stream {
        node: node.clone(),
        job: job.clone(),
        service: service.clone(),
        model,
        sent,
        tried: Vec::new(),
        splitter: Splitter::new(job.ask.last_event),
        pause_ms: 0.0,
        passed: None,
    };
    let task = tokio::task::spawn_local(stream.run(headed, sender));
    let body = Answer::Relayed(Relayed::new(channel, task.abort_handle()));
    judge::relayed(status, headers, body)
}

impl Stream {
    async fn run(mut self, headed: Headed, mut sender: Sender<Bytes, Cut>) {
        let until = deadline(self.job.deadline);
        let outcome = match tokio::time::timeout_at(until, self.all(headed, &mut sender)).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(cut)) => {
                sender.abort(cut);
                "cut"
            }
            Err(_) => {
                sender.abort(Cut::Late);
                "late"
            }
        };
        let route = &*self.job.route.name;
        self.node
            .metrics
            .requests
            .with_label_values(&[route, &format!("stream-{outcome}")])
            .inc();
        tracing::info!(
            event = "stream",
            id = self.job.ask.id,
            route,
            outcome,
            events = self.splitter.count(),
            attempts = self.sent,
            pause_ms = self.pause_ms,
            ms = now().since(self.job.arrived).as_secs_f64() * 1_000.0
        );
    }

    async fn all(
        &mut self,
        headed: Headed,
        sender: &mut Sender<Bytes, Cut>,
    ) -> Result<&'static str, Cut> {
        let mut headed = headed;
        loop {
            let pick = headed.pick.clone();
            let (head_ms, expected_ms) = (headed.head_ms, headed.expected_ms);
            let (headed_at, events) = (now(), self.splitter.count());
            match self.part(headed, sender).await {
                Part::Done => {
                    let pace = Pace {
                        head_ms,
                        expected_ms,
                        event_ms: self.event_ms(headed_at, events),
                    };
                    let ended = Ended::Well(pace);
                    judge::count(&self.node, &self.job, &pick, self.model, ended);
                    self.node
                        .suspects
                        .borrow_mut()
                        .ended_well(now(), self.job.digest);
                    return Ok("whole");
                }
                Part::Left => return Ok("caller-left"),
                Part::Broken(reason) => {
                    judge::count(&self.node, &self.job, &pick, self.model, Ended::Broken);
                    self.node
                        .suspects
                        .borrow_mut()
                        .crashed(now(), self.job.digest);
                    tracing::info!(
                        event = "stream-broken",
                        id = self.job.ask.id,
                        server = &*pick.id,
                        last = self.splitter.last(),
                        reason
                    );
                    self.tried.push(pick.id);
                    self.splitter.drop_partial();
                    headed = self.resume().await.ok_or(Cut::Broken)?;
                }
                Part::Overtaken(next) => {
                    judge::count(&self.node, &self.job, &pick, self.model, Ended::Silently);
                    tracing::info!(
                        event = "stream-overtaken",
                        id = self.job.ask.id,
                        server = &*pick.id,
                        by = &*next.pick.id,
                        last = self.splitter.last()
                    );
                    self.splitter.drop_partial();
                    headed = *next;
                }
            }
        }
    }

    /// Passes on one server's events.
    async fn part(&mut self, headed: Headed, sender: &mut Sender<Bytes, Cut>) -> Part {
        let Headed {
            answered,
            running,
            watched: _watched,
            pick,
            ..
        } = headed;
        let mut body = answered.response.into_body();
        let silence = self.silence();
        loop {
            let next = match tokio::time::timeout(silence, body.frame()).await {
                Ok(next) => next,
                Err(_) => match self.overtake(&pick, &mut body).await {
                    Ok(next) => next,
                    Err(headed) => return Part::Overtaken(headed),
                },
            };
            let frame = match next {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Part::Broken(error.to_string()),
                None if self.splitter.is_partial() => {
                    return Part::Broken("ended within an event".to_owned());
                }
                None => break,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let whole = match self.splitter.push(&data) {
                Ok(whole) => whole,
                Err(error) => return Part::Broken(error.to_string()),
            };
            if whole.is_empty() {
                continue;
            }
            self.note_pause();
            if sender.send_data(whole).await.is_err() {
                return Part::Left;
            }
        }
        self.node.pool.keep(answered.connection);
        drop(running);
        Part::Done
    }

    /// Waits for what the silent server at `pick` sends next and asks another beside it; returns the
    /// other's head if that is there first.
    async fn overtake(&mut self, pick: &Pick, body: &mut Incoming) -> Result<Next, Box<Headed>> {
        self.tried.push(pick.id.clone());
        tracing::info!(
            event = "stream-silent",
            id = self.job.ask.id,
            server = &*pick.id,
            last = self.splitter.last()
        );
        let other = tokio::select! {
            biased;
            next = body.frame() => return Ok(next),
            other = self.resume() => other,
        };
        match other {
            Some(headed) => Err(Box::new(headed)),
            None => Ok(body.frame().await),
        }
    }

    fn note_pause(&mut self) {
        let now = now();
        if let Some(passed) = self.passed.replace(now) {
            let pause_ms = now.since(passed).as_secs_f64() * 1_000.0;
            self.pause_ms = self.pause_ms.max(pause_ms);
        }
    }

    /// Milliseconds between the events since `from`, when `before` had been passed on.
    fn event_ms(&self, from: Instant, before: u64) -> Option<f64> {
        let events = u32::try_from(self.splitter.count() - before).ok()?;
        let passed = now().since(from).as_secs_f64() * 1_000.0;
        (events >= FEWEST_EVENTS).then(|| passed / f64::from(events))
    }

    fn silence(&self) -> Duration {
        let route = &self.job.route;
        if !route.resumable {
            return Duration::from_mins(10);
        }
        match route.pause_ms {
            Some(pause_ms) => Duration::from_millis(pause_ms).mul_f64(SILENCE),
            None => Duration::from_millis(SILENCE_MS),
        }
    }

    /// Asks other servers to go on.
    async fn resume(&mut self) -> Option<Headed> {
        if !self.job.route.resumable {
            return None;
        }
        loop {
            if !course::further(&self.node, &self.job, &self.service, self.sent, "resume") {
                return None;
            }
            self.sent += 1;
            let route = &self.job.route;
            let name = self.model.map(|rank| route.models[rank].clone());
            let pick = pick::pick(
                &self.node,
                &self.job,
                &self.service,
                name.as_deref(),
                &self.tried,
            )?;
            let named = self.model.zip(name.as_deref());
            let tried = attempt::run(
                &self.node,
                &self.job,
                pick.clone(),
                named,
                self.splitter.last(),
                self.job.deadline,
            )
            .await;
            match tried {
                Tried::Headed(headed) if headed.answered.response.status().is_success() => {
                    return Some(*headed);
                }
                Tried::NotRun(NotRun::Unreached) => {
                    // No byte left, so nobody was asked.
                    self.sent -= 1;
                    self.tried.push(pick.id);
                }
                _ => self.tried.push(pick.id),
            }
        }
    }
}
