//! Why a policy gives up a request.

/// The reason for giving up a request. Its `Display` output is the text in the operator's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GiveUpReason {
    /// The request reached no endpoint within its queue time, for example because its group has no primary.
    #[error("queue time over")]
    QueueTimeout,
    /// The final answer is due, just before the deadline.
    #[error("deadline reached")]
    DeadlineReached,
    /// The latency objective has expired, and the class gives late answers no weight.
    #[error("answer too late to be useful")]
    AnswerTooLate,
    /// Another attempt is not allowed.
    #[error(transparent)]
    AttemptDenied(#[from] AttemptDenied),
    /// The last attempt may have been executed, and the retry budget has no token.
    #[error("retry budget exhausted")]
    RetryBudgetExhausted,
    /// The primary rejected the request as overloaded, and would reject a retry as well.
    #[error("primary overloaded")]
    PrimaryOverloaded,
    /// No usable endpoint is predicted to answer in time.
    #[error("no endpoint can answer in time")]
    NoCapacity,
    /// The group has no endpoint for the request: none is usable, all were tried, or the group is not known.
    #[error("no usable endpoint")]
    NoEndpoint,
    /// The process may be killed before the request is answered, and other queries wait behind it on its
    /// connection.
    #[error("shutdown")]
    Shutdown,
    /// The settings do not contain the class of the request.
    #[error("unknown class")]
    UnknownClass,
}

impl GiveUpReason {
    /// Returns `true` if giving up for this reason is logged as load shedding.
    pub(crate) fn is_load_shedding(self) -> bool {
        matches!(self, GiveUpReason::NoCapacity | GiveUpReason::NoEndpoint)
    }
}

/// Why a request is denied another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptDenied {
    /// The settings allow no more attempts in flight.
    #[error("too many attempts in flight")]
    TooManyInFlight,
    /// The settings allow no more attempts of one request.
    #[error("attempts exhausted")]
    AttemptsExhausted,
    /// An earlier attempt may have been executed, so a repeat could execute the request twice.
    #[error("a repeat would be unsafe")]
    UnsafeRepeat,
}
