//! The positions of the fields of each message, and their names on the wire, which errors show.
//!
//! A field that no error can name, because any value is accepted, has only a position.

use super::fields::Field;

const ENDPOINT: &str = "member";
const INVENTORY: &str = "bank";
const OUTCOME: &str = "result";

/// The instance that a message is for.
pub const INSTANCE: Field = Field::new(0, "proxy");
/// The request that a message to an instance is about.
pub const REQUEST_ID: Field = Field::new(1, "corr");

/// Fields of the message that sets the time.
pub mod set_time {
    use super::Field;

    /// The time (seconds).
    pub const NOW: Field = Field::new(0, "turn");
}

/// Fields of an inventory of endpoints.
pub mod inventory {
    use super::Field;

    /// Identifies the inventory.
    pub const ID: Field = Field::new(0, super::INVENTORY);
    /// The endpoints, as an array of entries.
    pub const ENDPOINTS: Field = Field::new(1, "membersList");
}

/// Fields of an entry of an inventory.
pub mod endpoint {
    use super::Field;

    /// Identifies the endpoint.
    pub const ID: Field = Field::new(0, super::ENDPOINT);
    /// The zone number.
    pub const ZONE: Field = Field::new(1, "failureDomain");
    /// The replica group number.
    pub const GROUP: Field = Field::new(3, "cell");
    /// Whether it accepts requests.
    pub const STATUS: Field = Field::new(4, "phase");
    /// When it last started (seconds); 0 means long ago.
    pub const STARTED_AT: Field = Field::new(6, "startedAt");
    /// Whether it is listed as the primary of its group (a numeric flag).
    pub const IS_PRIMARY: Field = Field::new(7, "isPrimary");
}

/// Fields of the message that creates an instance.
pub mod new_instance {
    use super::Field;

    /// Seed of the policy's random number generator.
    pub const SEED: Field = Field::new(1, "seed");
    /// The policy settings, as an object.
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

/// Fields of a request from a client.
pub mod request {
    use super::Field;

    /// Time until the client stops waiting (seconds).
    pub const TIMEOUT: Field = Field::new(2, "expiresIn");
    /// Age of the session's last write (milliseconds); 0 if the client sent no session token.
    pub const SESSION_TOKEN_AGE: Field = Field::new(3, "tokenAgeMs");
    /// The session key, a string.
    pub const SESSION: usize = 4;
    /// The tenant number.
    pub const TENANT: Field = Field::new(5, "realm");
    /// Option bits, see [`request_option`](crate::wire::names::request_option).
    pub const OPTIONS: Field = Field::new(6, "opts");
    /// The predicted work (seconds).
    pub const PREDICTED_WORK: usize = 7;
    /// The request class number.
    pub const CLASS: Field = Field::new(8, "tierClass");
    /// The number of the replica group with the data.
    pub const GROUP: Field = Field::new(9, "clusterNo");
}

/// Fields of the result of an attempt.
pub mod attempt_result {
    use super::Field;

    /// The log position (milliseconds after the base time of the instance) and the role, in one number.
    pub const POSITION_AND_ROLE: Field = Field::new(2, "posRole");
    /// The endpoint that the attempt was sent to.
    pub const ENDPOINT: Field = Field::new(3, super::ENDPOINT);
    /// Whether the request has received its final response.
    pub const REQUEST_FINISHED: usize = 4;
    /// Time since the attempt was sent (seconds).
    pub const ELAPSED: Field = Field::new(5, "costTime");
    /// The zero-based number of the attempt among those of the request.
    pub const ATTEMPT: Field = Field::new(6, "sendNo");
    /// The outcome of the attempt.
    pub const OUTCOME: Field = Field::new(7, super::OUTCOME);
    /// The load report in the response.
    pub const LOAD_REPORT: usize = 8;
}

/// Fields of the result of a health check.
pub mod health_check {
    use super::Field;

    /// The endpoint that was checked.
    pub const ENDPOINT: Field = Field::new(1, super::ENDPOINT);
    /// The outcome of the check.
    pub const OUTCOME: Field = Field::new(2, super::OUTCOME);
    /// The load report in the response.
    pub const LOAD_REPORT: usize = 4;
}

/// Fields of the expiry of a timer.
pub mod timer {
    use super::Field;

    /// The value that the timer was set with.
    pub const COOKIE: Field = Field::new(1, "cookie");
}
