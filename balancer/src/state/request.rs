//! State of a request and of its attempts.

use crate::interface::Millis;

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// Zone and cell of the endpoint when the attempt was sent. They determine which endpoints recognise its
    /// idempotency key, even if the endpoint list changes later.
    pub(crate) zone_and_cell: (usize, u32),
    pub(crate) sent_at: Millis,
    /// Expected work of the endpoint; 0 while the body of the request is pending.
    pub(crate) work: f64,
    /// It had to open a connection.
    pub(crate) opened_connection: bool,
    pub(crate) in_flight: bool,
    pub(crate) may_have_run: bool,
    /// No byte of it was written, so it does not count towards the limit of attempts.
    pub(crate) never_sent: bool,
    /// What it added to [`Endpoint::recent_work`](crate::endpoint::Endpoint::recent_work).
    pub(crate) counted_work: Millis,
}

impl Attempt {
    /// An attempt that was just sent. It may have been executed until its outcome proves the opposite.
    pub(crate) fn new(
        endpoint: usize,
        zone_and_cell: (usize, u32),
        sent_at: Millis,
        work: f64,
        opened_connection: bool,
    ) -> Attempt {
        let (never_sent, counted_work) = (false, 0.0);
        Attempt {
            endpoint,
            zone_and_cell,
            sent_at,
            work,
            opened_connection,
            in_flight: true,
            may_have_run: true,
            never_sent,
            counted_work,
        }
    }
}

pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) arrived_at: Millis,
    pub(crate) deadline: Millis,
    /// The size hint, or 1 without one.
    pub(crate) size: f64,
    /// Hash of its key, if endpoints cache by key.
    pub(crate) key: Option<u64>,
    /// What a client gives it, also if it comes again; known only where clients do.
    pub(crate) identity: Option<u64>,
    /// Another request with its identity was forwarded and may have been executed.
    pub(crate) ran_elsewhere: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Its response is being streamed to the client.
    pub(crate) streaming: bool,
    /// The client has its final response or has disconnected.
    pub(crate) ended: bool,
    /// Its body was still being received when it arrived, so it can be sent only once.
    pub(crate) send_once: bool,
    pub(crate) body_pending: bool,
    /// No further attempt may start: a part of the body was sent that is no longer buffered, or the client
    /// closed its sending side.
    pub(crate) cannot_resend: bool,
}

impl Request {
    /// A request that just arrived and has no attempts yet.
    pub(crate) fn new(
        class: usize,
        arrived_at: Millis,
        timeout: Millis,
        size: f64,
        key: Option<u64>,
    ) -> Request {
        Request {
            class,
            arrived_at,
            deadline: arrived_at + timeout,
            size,
            key,
            identity: None,
            ran_elsewhere: false,
            attempts: Vec::new(),
            streaming: false,
            ended: false,
            send_once: false,
            body_pending: false,
            cannot_resend: false,
        }
    }

    /// Whether its final response must still be sent.
    pub(crate) fn awaits_response(&self) -> bool {
        !self.ended && !self.streaming
    }
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran_elsewhere || self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
    /// The attempts that count towards the limit: all but those that were never sent.
    pub(crate) fn attempts_made(&self) -> usize {
        self.attempts.iter().filter(|attempt| !attempt.never_sent).count()
    }
}
