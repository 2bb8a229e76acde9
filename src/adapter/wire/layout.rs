//! The fields of each message: their positions, and their names on the wire as errors show them.
//!
//! A field that is optional and of any type has only a position: no error names it.

use super::fields::Field;

const ENDPOINT: &str = "member";
const INVENTORY: &str = "bank";
const OUTCOME: &str = "result";

/// The instance that a message is for.
pub const INSTANCE: Field = Field::new(0, "proxy");
/// The request that a message to an instance is about.
pub const REQUEST_ID: Field = Field::new(1, "corr");

/// Fields of the message that sets the time.
pub mod turn {
    use super::Field;

    /// The time (seconds).
    pub const NOW: Field = Field::new(0, "turn");
}

/// Fields of an inventory of endpoints.
pub mod inventory {
    use super::Field;

    /// Identifies the inventory.
    pub const ID: Field = Field::new(0, super::INVENTORY);
    /// The endpoints, an array of entries.
    pub const ENDPOINTS: Field = Field::new(1, "membersList");
}

/// Fields of an entry of an inventory.
pub mod endpoint {
    use super::Field;

    /// Identifies the endpoint.
    pub const ID: Field = Field::new(0, super::ENDPOINT);
    /// The number of its zone.
    pub const ZONE: Field = Field::new(1, "failureDomain");
    /// The number of its replica group.
    pub const GROUP: Field = Field::new(3, "cell");
    /// Whether it takes requests.
    pub const STATUS: Field = Field::new(4, "phase");
    /// When it last started (seconds); 0 means long ago.
    pub const STARTED_AT: Field = Field::new(6, "startedAt");
    /// Whether it is listed as the primary of its group (a flag as a number).
    pub const IS_PRIMARY: Field = Field::new(7, "isPrimary");
}

/// Fields of the message that creates an instance.
pub mod new_instance {
    use super::Field;

    /// Seeds the random numbers of the policy.
    pub const SEED: Field = Field::new(1, "seed");
    /// The settings of the policy, an object.
    pub const SETTINGS: usize = 2;
}

/// Fields of an update of the endpoint list.
pub mod endpoint_update {
    use super::Field;

    /// What the update contains.
    pub const KIND: Field = Field::new(1, "kind");
    /// The inventory that holds its endpoints.
    pub const INVENTORY: Field = Field::new(3, super::INVENTORY);
}

/// Fields of a request as it was received from a client.
pub mod request {
    use super::Field;

    /// Time until the client stops waiting (seconds).
    pub const TIMEOUT: Field = Field::new(2, "expiresIn");
    /// Age of the session's last write (milliseconds); 0 where the client does not carry it.
    pub const SESSION_TOKEN_AGE: Field = Field::new(3, "tokenAgeMs");
    /// The session, a text.
    pub const SESSION: usize = 4;
    /// The number of the tenant.
    pub const TENANT: Field = Field::new(5, "realm");
    /// Bits, see [`request_option`](crate::wire::names::request_option).
    pub const OPTIONS: Field = Field::new(6, "opts");
    /// The predicted work (seconds).
    pub const PREDICTED_WORK: usize = 7;
    /// The number of the request class.
    pub const CLASS: Field = Field::new(8, "tierClass");
    /// The number of the replica group that holds the data.
    pub const GROUP: Field = Field::new(9, "clusterNo");
}

/// Fields of the result of an attempt.
pub mod attempt_result {
    use super::Field;

    /// The log position (milliseconds after the base time of the instance) and the role, in one number.
    pub const POSITION_AND_ROLE: Field = Field::new(2, "posRole");
    /// The endpoint that the attempt was sent to.
    pub const ENDPOINT: Field = Field::new(3, super::ENDPOINT);
    /// Whether the request has had its final answer.
    pub const REQUEST_FINISHED: usize = 4;
    /// Time since the attempt was sent (seconds).
    pub const ELAPSED: Field = Field::new(5, "costTime");
    /// Number of the attempt among those of the request, from 0.
    pub const ATTEMPT: Field = Field::new(6, "sendNo");
    /// How the attempt ended.
    pub const OUTCOME: Field = Field::new(7, super::OUTCOME);
    /// The load report that came with the answer.
    pub const LOAD_REPORT: usize = 8;
}

/// Fields of the result of a health check.
pub mod health_check {
    use super::Field;

    /// The endpoint that was checked.
    pub const ENDPOINT: Field = Field::new(1, super::ENDPOINT);
    /// How the check ended.
    pub const OUTCOME: Field = Field::new(2, super::OUTCOME);
    /// What the endpoint reported.
    pub const LOAD_REPORT: usize = 4;
}

/// Fields of the expiry of a timer.
pub mod timer {
    use super::Field;

    /// The value that the timer was set with.
    pub const COOKIE: Field = Field::new(1, "cookie");
}
