//! Sends a request until a server has answered it, or it is clear that none will.

use super::answer::{self, OwnAnswer, Verdict};
use super::attempts::{Attempts, Ending, Event, Phase, Rules, Step};
use super::headers::{self, REQUEST_ID};
use super::plane::Plane;
use super::pool::{ConnectError, Connected};
use super::request::Job;
use super::run::Run;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use quillpulley_http1_client::{Socket, Written};
use quillpulley_load_balancer::{FailureKind, Outcome, ServerKey};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A request waits for a place at a server for this part of its objective at most, and is refused then.
const PATIENCE_DIVISOR: u32 = 4;
/// When a client may come again where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A server's answer.
pub enum Answer {
    /// Its head and the whole of its body.
    Whole(Parts, Bytes),
    /// Its head; the body is still to come.
    Stream(Box<OpenAnswer>),
}

/// An answer whose body is still to come.
pub struct OpenAnswer {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Incoming,
    /// The send that it answers.
    pub run: Run,
}

/// Why no server's answer can be passed on, and what the client is told.
pub enum Unanswered {
    /// The limiter's own answer.
    Own(OwnAnswer),
    /// The answer that was begun has to break off.
    Cut,
}

/// A request on its way through servers.
pub struct Forwarding {
    plane: Rc<Plane>,
    job: Rc<Job>,
    attempts: Attempts,
    /// Servers that it was sent to.
    tried: Vec<ServerKey>,
    /// The server's own failure, should it be the last word.
    failure: Option<(Parts, Bytes)>,
    /// The connection of the latest send.
    socket: Option<Rc<Socket>>,
    /// Until when a place at a server is waited for.
    patience: Instant,
    retry_after: Duration,
}

impl Forwarding {
    /// Creates a request that was taken from a client just now.
    pub fn new(plane: Rc<Plane>, job: Job) -> Self {
        let Job { request, plan } = &job;
        plane.budgets().borrow_mut().record_request(plane.now(), &plan.service);
        let repeats_after_reset = plane.faults().retry_after_reset();
        let rules =
            Rules { repeatable: plan.repeatable, max_attempts: plan.max_attempts, repeats_after_reset };
        Forwarding {
            attempts: Attempts::new(rules),
            tried: Vec::new(),
            failure: None,
            socket: None,
            patience: request.arrived + plan.objective / PATIENCE_DIVISOR,
            retry_after: RETRY_AFTER,
            plane,
            job: Rc::new(job),
        }
    }

    /// Returns the request, and what is to be done with it.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Sends it until there is an answer to pass on, or its time is over.
    pub async fn forward(&mut self) -> Result<Answer, Unanswered> {
        self.in_time(None).await
    }

    /// Takes up a stream that broke off, behind the last event that was passed on, if there is one.
    pub async fn resume(&mut self, after: Option<Bytes>) -> Result<Answer, Unanswered> {
        match self.attempts.handle(Event::Broken) {
            Step::End(ending) => return Err(self.unanswered(ending)),
            Step::Proceed | Step::Choose => {}
        }
        self.patience = Instant::now() + self.job.plan.objective / PATIENCE_DIVISOR;
        self.in_time(after).await
    }

    /// The head of an answer is passed on.
    pub fn head_passed(&mut self) {
        self.attempts.handle(Event::HeadPassed);
    }

    async fn in_time(&mut self, resume_after: Option<Bytes>) -> Result<Answer, Unanswered> {
        let due = self.job.request.due;
        let plane = self.plane.clone();
        let ended = tokio::select! {
            biased;
            ended = self.run(resume_after.as_deref()) => ended,
            () = sleep_until(due) => Err(self.time_up()),
            () = plane.last_call() => Err(self.time_up()),
        };
        ended.map_err(|ending| self.unanswered(ending))
    }

    async fn run(&mut self, resume_after: Option<&[u8]>) -> Result<Answer, Ending> {
        loop {
            let event = match self.place().await {
                Some(run) => match self.send(run, resume_after).await {
                    Ok(answer) => return Ok(answer),
                    Err(event) => event,
                },
                None => Event::Unplaced,
            };
            // With this the connection is closed, also while another server is looked for.
            self.socket = None;
            let Step::End(ending) = self.attempts.handle(event) else { continue };
            let failure = self.failure.take().filter(|_| ending == Ending::ServersFailure);
            return failure.map(|(head, body)| Answer::Whole(head, body)).ok_or(ending);
        }
    }

    /// Returns a place at a server, and the right to send the request there. A repeat is counted before it is sent.
    async fn place(&mut self) -> Option<Run> {
        match self.plane.place(&self.job, &self.tried, self.patience).await {
            Ok(run) if !self.attempts.repeated() || self.may_repeat() => Some(run),
            Ok(_) => None,
            Err(no_place) => {
                self.retry_after = no_place.retry_after.unwrap_or(RETRY_AFTER);
                None
            }
        }
    }

    fn may_repeat(&self) -> bool {
        self.plane.budgets().borrow_mut().try_retry(self.plane.now(), &self.job.plan.service)
    }

    /// Sends it to a server. Gives an answer to pass on, or what became of it.
    async fn send(&mut self, mut run: Run, resume_after: Option<&[u8]>) -> Result<Answer, Event> {
        self.tried.push(run.target().key);
        self.attempts.handle(Event::Chosen);
        match self.exchange(&mut run, resume_after).await {
            Ok(response) => self.judge(run, response).await,
            Err((event, outcome)) => {
                run.end(outcome);
                Err(event)
            }
        }
    }

    /// Writes the request and waits for the head of the answer. Gives what became of it where none comes, and what
    /// that tells of the server.
    async fn exchange(
        &mut self,
        run: &mut Run,
        resume_after: Option<&[u8]>,
    ) -> Result<Response<Incoming>, (Event, Outcome)> {
        const UNSENT: (Event, Outcome) = (Event::Unsent, Outcome::ClientLeft);
        loop {
            let target = run.target().clone();
            let connected = self.plane.pool().connect(&target).await;
            let Connected { link, reused } = connected.map_err(|error| match error {
                ConnectError::NoDescriptor => UNSENT,
                ConnectError::Failed => (Event::Unsent, Outcome::Failed(FailureKind::Connect)),
            })?;
            // Connecting took a while: one that was told to drain meanwhile gets nothing new.
            if !self.plane.is_usable(target.key) {
                return Err(UNSENT);
            }
            let request = self.job.request.for_server(&target.id, resume_after).ok_or(UNSENT)?;
            let socket = link.socket().clone();
            self.socket = Some(socket.clone());
            self.attempts.handle(Event::Connected);
            match run.attach(link).open(request).await {
                Ok(response) => return Ok(response),
                Err(_) if socket.written() != Written::Nothing => {
                    if reused {
                        // A server that has forgotten one idle connection has most likely forgotten the others.
                        self.plane.pool().forget(target.key);
                    }
                    return Err((Event::Broken, Outcome::Failed(FailureKind::ResetBeforeAnswer)));
                }
                // A kept connection that broke before a byte was written says nothing of the server.
                Err(_) if reused => run.detach(),
                Err(_) => return Err((Event::Unsent, Outcome::Failed(FailureKind::Connect))),
            }
        }
    }

    /// Returns what an answer means; its body is read as far as it must be whole before it is passed on.
    async fn judge(&mut self, run: Run, response: Response<Incoming>) -> Result<Answer, Event> {
        let (head, body) = response.into_parts();
        match self.verdict(&head) {
            Verdict::Success if self.job.plan.streaming => {
                Ok(Answer::Stream(Box::new(OpenAnswer { head, body, run })))
            }
            Verdict::Success => {
                let (head, body) = self.read(run, head, body, Outcome::Served).await?;
                Ok(Answer::Whole(head, body))
            }
            Verdict::Failure => {
                let outcome = match head.status.is_server_error() {
                    true => Outcome::Failed(FailureKind::ServerError),
                    false => Outcome::Served,
                };
                self.failure = Some(self.read(run, head, body, outcome).await?);
                Err(Event::Failed)
            }
            Verdict::Declined { full } => {
                let declined = Outcome::NotExecuted { full };
                // Where the rest has not come with the head, it is not worth waiting for.
                let mut rest = pin!(self.read(run, head, body, declined));
                poll_fn(|cx| Poll::Ready(rest.as_mut().poll(cx).is_ready())).await;
                Err(Event::Declined)
            }
            Verdict::Misdirected => {
                run.end(Outcome::Misdirected);
                Err(Event::Misdirected)
            }
            Verdict::UnmarkedRefusal => fail(run, FailureKind::ServerError),
            Verdict::Invalid => fail(run, FailureKind::Garbled),
        }
    }

    fn verdict(&self, head: &Parts) -> Verdict {
        let id = &self.job.request.head.id;
        let ignores_id = self.plane.faults().ignore_response_ids();
        let expected = headers::single(&head.headers, &REQUEST_ID).filter(|_| ignores_id).unwrap_or(id);
        answer::judge(head, expected)
    }

    /// Reads the rest of an answer and keeps the connection.
    async fn read(
        &self,
        mut run: Run,
        head: Parts,
        body: Incoming,
        outcome: Outcome,
    ) -> Result<(Parts, Bytes), Event> {
        match run.read_whole(body).await {
            Ok(body) => {
                run.end_whole(outcome, answer::keep_alive(&head.headers));
                Ok((head, body))
            }
            Err(_) => {
                run.end(Outcome::Failed(FailureKind::BrokeOff));
                Err(Event::Broken)
            }
        }
    }

    /// Its time is over.
    fn time_up(&mut self) -> Ending {
        let written = self.socket.as_ref().map_or(Written::Nothing, |socket| socket.written());
        if self.attempts.phase() == Phase::Awaiting && written == Written::Nothing {
            self.attempts.handle(Event::Unsent);
        }
        match self.attempts.handle(Event::TimeUp) {
            Step::End(ending) => ending,
            Step::Proceed | Step::Choose => Ending::Failed,
        }
    }

    fn unanswered(&self, ending: Ending) -> Unanswered {
        match ending {
            Ending::Refused => Unanswered::Own(OwnAnswer::refusal(self.retry_after)),
            Ending::TimedOut => Unanswered::Own(OwnAnswer::status(StatusCode::GATEWAY_TIMEOUT)),
            Ending::Cut => Unanswered::Cut,
            Ending::Failed | Ending::ServersFailure | Ending::Served => {
                Unanswered::Own(OwnAnswer::status(StatusCode::BAD_GATEWAY))
            }
        }
    }
}

/// It may have run, and the answer is of no use.
fn fail(run: Run, kind: FailureKind) -> Result<Answer, Event> {
    run.end(Outcome::Failed(kind));
    Err(Event::Broken)
}
