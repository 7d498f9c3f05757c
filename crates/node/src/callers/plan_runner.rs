//! The steps of a plan: one version directly, or a cheap one whose answer is
//! held until it is judged, then perhaps a dearer one.
//!
//! An answer that may still be replaced is not handed on before its judgement:
//! a caller would get two answers, or one that is then taken back. Which
//! classes can wait for that is settled by their need for the first token, in
//! the core's plan. When the judgement fails, the dearer version answers: a
//! rating service that is down costs money and no quality.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_config::key;
use fescuerack_core::attempt::Outcome;
use fescuerack_core::cascade::{Plan, Purpose, Steps};
use fescuerack_core::poison::Fingerprint;
use fescuerack_wire::chat;

use super::attempts::{AttemptRunner, AttemptSpec, Failure, StartedAnswer};
use super::billing::Spent;
use super::choice::Choice;
use super::collect::Answer;
use super::format::{Endpoint, ask_for_usage};
use super::observer::Observer;
use super::request::Call;
use crate::admission::Meter;
use crate::shared::{ActiveConfiguration, Shared};
use crate::versions::ratings;

/// Milliseconds for which a request waits when no plan's pool has a server.
/// Longer outages are not over within a request; the caller is told when to
/// come back instead.
const WAIT_MS: u64 = 2_000;
/// Time between two tries of a request that waits.
const RETRY: Duration = Duration::from_millis(50);

/// What it takes to follow the plans of a request.
pub struct PlanRunner<'a> {
    /// State of the process.
    pub shared: &'a Arc<Shared>,
    /// Configuration under which the request runs.
    pub active: &'a Arc<ActiveConfiguration>,
    /// The request.
    pub call: &'a Call,
    /// What was chosen for it.
    pub choice: &'a Choice,
    /// What it asks.
    pub asked: &'a chat::Request,
    /// Tells admission how the attempts go.
    pub meter: Meter,
}

/// An answer that may be handed on.
pub struct Ready {
    /// Version that gave it.
    pub version: key::Version,
    /// The answer.
    pub answer: AvailableAnswer,
    /// What earlier steps used.
    pub spent: Spent,
}

/// An answer, as far as it has come.
pub enum AvailableAnswer {
    /// Its first part.
    Started(Box<StartedAnswer>, Observer),
    /// All of it.
    Complete(Answer),
}

impl PlanRunner<'_> {
    /// Follows the plans, the cheapest first; one whose pool has no server
    /// gives way to the next.
    ///
    /// # Errors
    ///
    /// When no plan brought an answer.
    pub async fn run(&self) -> Result<Ready, Failure> {
        let now = self.shared.now();
        let until = now.plus_millis(WAIT_MS).min(self.call.deadline);
        loop {
            for plan in &self.choice.plans {
                match self.follow(plan).await {
                    Err(Failure::NoServer(Outcome::NotRun)) => {
                        self.shared.metrics.count("plans.no_server");
                    }
                    result => return result,
                }
            }
            if self.shared.now() >= until {
                return Err(Failure::NoServer(Outcome::NotRun));
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn follow(&self, plan: &Plan) -> Result<Ready, Failure> {
        match plan.steps {
            Steps::Direct(version) => self.direct(version, Spent::default()).await,
            Steps::Cascade {
                first,
                second,
                accept,
            } => self.cascade(first, second, accept).await,
        }
    }

    async fn direct(&self, version: key::Version, spent: Spent) -> Result<Ready, Failure> {
        let observer = self.observer(version, false);
        let answer = if self.asked.stream {
            let started = self.attempts(version).start().await?;
            observer.first();
            AvailableAnswer::Started(Box::new(started), observer)
        } else {
            AvailableAnswer::Complete(self.collect(version, observer).await?)
        };
        Ok(Ready {
            version,
            answer,
            spent,
        })
    }

    async fn cascade(
        &self,
        first: key::Version,
        second: key::Version,
        accept: f64,
    ) -> Result<Ready, Failure> {
        let answer = match self.collect(first, self.observer(first, true)).await {
            Ok(answer) => answer,
            Err(Failure::Crashes(outcome)) => return Err(Failure::Crashes(outcome)),
            Err(_) => return self.direct(second, Spent::default()).await,
        };
        let rating = self.judge(first, &answer).await;
        if rating.is_some_and(|rating| rating >= accept) {
            self.shared.metrics.count("cascade.handed_on");
            return Ok(whole(first, answer));
        }
        self.shared.metrics.count(match rating {
            Some(_) => "cascade.escalated",
            None => "cascade.not_judged",
        });
        let mut spent = Spent::default();
        spent.add(self.active, first, answer.usage);
        match self.direct(second, spent).await {
            // Better below the target than no answer, if that is their word.
            Err(_) if self.may_miss() => Ok(whole(first, answer)),
            // The first step has run, whatever became of the second.
            Err(Failure::NoServer(_)) => Err(Failure::NoServer(Outcome::Unknown)),
            result => result,
        }
    }

    fn may_miss(&self) -> bool {
        let organisations = &self.active.catalog.organisations;
        let entry = organisations.get(self.call.organisation);
        entry.is_some_and(|entry| entry.below_target)
    }

    async fn collect(&self, version: key::Version, observer: Observer) -> Result<Answer, Failure> {
        let mut run = self.attempts(version);
        loop {
            let started = run.start().await?;
            observer.first();
            match Answer::read(self.shared, &self.call.body, started).await {
                Ok(answer) => {
                    observer.ended_whole(&answer);
                    return Ok(answer);
                }
                Err(end) => run.end(end)?,
            }
        }
    }

    /// Asks for the rating of an answer; `None` when none came in time.
    async fn judge(&self, version: key::Version, answer: &Answer) -> Option<f64> {
        let class = self.choice.class?;
        if !ratings::try_acquire(self.shared, self.active, Purpose::Cascade) {
            self.shared.metrics.count("ratings.over_rate");
            return None;
        }
        let answer = ratings::Answer {
            class,
            version,
            text: answer.text.clone(),
        };
        let shared = Arc::clone(self.shared);
        let asked = tokio::task::spawn_blocking(move || ratings::rate(&shared, &answer));
        let remaining = self.call.deadline.since(self.shared.now());
        let rating = tokio::time::timeout(remaining, asked).await;
        rating.ok()?.ok()?
    }

    fn observer(&self, version: key::Version, is_judged: bool) -> Observer {
        let class = self.choice.class;
        Observer::new(self.shared, self.active, version, class, is_judged)
    }

    fn attempts(&self, version: key::Version) -> AttemptRunner {
        let work = AttemptSpec {
            version,
            path: Endpoint::new(&self.call.path).path(),
            priority: self.choice.priority,
            fingerprint: fingerprint(self.active, self.call),
            body: body(self.active, version, self.asked),
            deadline: self.call.deadline,
        };
        AttemptRunner::new(Arc::clone(self.shared), Arc::clone(self.active), work)
            .with_meter(self.meter.clone())
    }
}

fn whole(version: key::Version, answer: Answer) -> Ready {
    Ready {
        version,
        answer: AvailableAnswer::Complete(answer),
        spent: Spent::default(),
    }
}

/// Returns the body for the engine: always a stream with its usage, so that an
/// attempt can be cancelled, its first token is seen as soon as it exists, and
/// it can be billed.
fn body(active: &ActiveConfiguration, version: key::Version, asked: &chat::Request) -> Bytes {
    let mut rest = asked.rest.clone();
    ask_for_usage(&mut rest);
    let request = chat::Request {
        model: active.names.versions.name(version).to_string(),
        stream: true,
        rest,
    };
    Bytes::from(serde_json::to_vec(&request).expect("wire messages have only plain fields"))
}

fn fingerprint(active: &ActiveConfiguration, call: &Call) -> Fingerprint {
    let organisation = active.names.organisations.name(call.organisation);
    Fingerprint::new(organisation, &call.body)
}
