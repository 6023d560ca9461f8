//! Numbered result codes. `docs/ERRORS.md` lists them, and a test compares the two.

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal;)*) => {
        /// A numbered result code. The number is part of every interface and never changes meaning.
        #[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All result codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the result code for `number`.
            pub fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }

            /// Returns the name as listed in the documentation.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns the corresponding HTTP status.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

result_codes! {
    /// success
    Ok = 0, 200;

    // 1xxx: errors in a caller's request. Nothing ran.
    /// the request is malformed
    MalformedRequest = 1001, 400;
    /// the body is not valid JSON of the expected shape
    MalformedJson = 1002, 400;
    /// the body is larger than allowed
    BodyTooLarge = 1003, 413;
    /// no such service in this environment
    UnknownService = 1004, 404;
    /// the deadline is zero or exceeds the maximum
    BadDeadline = 1005, 400;
    /// a header has an invalid value
    BadHeader = 1006, 400;
    /// path not found
    UnknownPath = 1007, 404;
    /// the method is not allowed for this path
    BadMethod = 1008, 405;
    /// a non-repeatable request needs an identifier from the caller
    MissingRequestId = 1009, 400;
    /// the identifier was used before for another request
    RequestIdReused = 1010, 409;
    /// the request is older than the retention time of claims
    RequestTooOld = 1011, 400;
    /// a non-repeatable request must name one shard or use a service with one shard
    AmbiguousShard = 1012, 400;
    /// no such shard in the pinned snapshot
    UnknownShard = 1013, 404;
    /// a name is empty, too long or contains an invalid character
    BadName = 1014, 400;
    /// the API key is missing, malformed or unknown
    KeyRefused = 1015, 401;
    /// the body did not arrive in time
    BodyTimeout = 1016, 408;

    // 2xxx: refusals by an entry.
    /// overloaded; retry later
    Overloaded = 2001, 503;
    /// this entry cannot prove that its configuration is the newest
    NoLease = 2002, 503;
    /// this entry is shutting down
    ShuttingDown = 2003, 503;
    /// no replica is available
    NoReplica = 2004, 503;
    /// the minimum coverage could not be reached
    CoverageTooLow = 2005, 503;
    /// the deadline passed
    DeadlinePassed = 2006, 504;
    /// no snapshot has enough available shards
    NoSnapshot = 2007, 503;
    /// this request crashed backend servers and is blocked for a time
    RequestPoisoned = 2008, 422;
    /// the request was claimed before and its outcome is unknown; it is not run again
    OutcomeUnknown = 2009, 409;
    /// no quorum of control could be reached to claim the request
    ClaimUnavailable = 2010, 503;
    /// the caller cancelled the request
    CallerGone = 2011, 499;
    /// the request could not be completed in time and was ended early
    GivenUp = 2012, 503;
    /// the data centre's power cap is reached
    PowerCapReached = 2013, 503;
    /// all replicas have asked for a pause or a lower rate; retry when the first can be used again
    ReplicasPaused = 2014, 503;
    /// the route and the customer allow no common region
    NoCommonRegion = 2015, 503;
    /// this entry has been out of contact with control for too long to check keys
    KeysUnconfirmed = 2016, 503;
    /// the customer has used up its quota
    QuotaExceeded = 2017, 429;
    /// other clients hold the memory that the body needs; retry later
    MemoryShort = 2018, 503;

    // 3xxx: reasons why a sub-request was not answered.
    /// the replica has no free slot and its queue is full
    SlotsBusy = 3001, 503;
    /// connecting to the backend server failed
    ConnectFailed = 3002, 502;
    /// the connection was closed after data may have been sent
    ConnectionReset = 3003, 502;
    /// the backend server shed the sub-request
    ServerShed = 3004, 503;
    /// the sub-request expired before an answer came
    SubRequestExpired = 3005, 504;
    /// the answer names another request, shard or snapshot
    AnswerMismatch = 3006, 502;
    /// the answer is truncated or its checksum is wrong
    AnswerDamaged = 3007, 502;
    /// this entry is not the keeper of the replica
    NotKeeper = 3008, 503;
    /// the sub-request was cancelled
    Cancelled = 3009, 499;
    /// the replica is draining or has left
    ReplicaDraining = 3010, 503;
    /// the keeper could not be reached
    KeeperUnreachable = 3011, 502;
    /// the replica's data centre is out of service
    CentreOut = 3012, 503;
    /// the replica does not have the snapshot
    SnapshotNotHeld = 3013, 409;
    /// the backend server returned an error
    ServerFailed = 3014, 502;
    /// the backend server is cold and has reached its limit
    ServerCold = 3015, 503;
    /// the keeper is waiting for the former keeper's lease to end
    KeeperWaiting = 3016, 503;
    /// no replica of the shard has announced itself
    ShardAbsent = 3017, 503;
    /// the shard had not answered when the answer was sent
    ShardLate = 3018, 504;

    // 4xxx: errors in an announcement.
    /// an announcement contradicts itself or another one
    AnnouncementContradicts = 4001, 409;
    /// the announced partition is invalid
    BadPartition = 4002, 400;
    /// a newer announcement or incarnation is known
    AnnouncementStale = 4003, 409;
    /// an announcement's numbers are out of range
    AnnouncementRange = 4004, 400;
    /// the data centre is not in this environment
    UnknownCentre = 4005, 404;
    /// this entry keeps the maximum number of replicas
    TooManyReplicas = 4006, 503;

    // 5xxx: control.
    /// the change is based on a version that is no longer the newest
    VersionConflict = 5001, 409;
    /// this control VM is not the leader
    NotLeader = 5002, 421;
    /// no quorum of control VMs could be reached
    NoQuorum = 5003, 503;
    /// the operator's token is missing or wrong
    BadToken = 5004, 401;
    /// no such environment
    UnknownEnvironment = 5005, 404;
    /// the version to promote is not the version of the environment
    PromoteMismatch = 5006, 409;
    /// the change identifier was used before for another change
    ChangeIdReused = 5007, 409;
    /// another change of voters is in progress
    VoterChangeRunning = 5008, 409;
    /// no such control VM
    UnknownVoter = 5009, 404;
    /// the control VM is already a member
    VoterPresent = 5010, 409;
    /// the last voter cannot be removed
    LastVoter = 5011, 409;
    /// the outcome of the change is unknown; send it again with the same identifier
    ChangeOutcomeUnknown = 5012, 504;
    /// the maximum number of claims is stored
    ClaimsFull = 5013, 503;
    /// the change would alter nothing
    NothingChanged = 5014, 409;
    /// a process that started later is registered under this VM's name
    EntryReplaced = 5015, 409;
    /// another rollout of the service is in progress
    RolloutConflict = 5016, 409;
    /// the service has no rollout
    UnknownRollout = 5017, 404;
    /// the configuration has no such service
    ServiceNotConfigured = 5018, 422;
    /// not every member supports rollouts yet
    FeatureLevelTooLow = 5019, 503;

    // 6xxx: errors in a settings file or environment document, each reported with its path.
    /// the file is not valid JSON
    NotJson = 6001, 400;
    /// unknown field
    UnknownField = 6002, 400;
    /// a field is missing
    MissingField = 6003, 400;
    /// a value has the wrong type
    WrongType = 6004, 400;
    /// a value is out of range
    OutOfRange = 6005, 400;
    /// a value refers to something that does not exist
    UnknownReference = 6006, 400;
    /// duplicate name
    DuplicateName = 6007, 400;
    /// two settings contradict each other
    SettingsContradict = 6008, 400;
    /// the document is larger than allowed
    DocumentTooLarge = 6009, 413;
    /// two customers have the same key
    KeyShared = 6010, 400;

    // 7xxx: the data folder.
    /// a stored record is damaged and is followed by later records
    RecordDamaged = 7001, 500;
    /// reading or writing the data folder failed
    StorageFailed = 7002, 500;
    /// another process uses the data folder
    FolderInUse = 7003, 500;
    /// the data folder belongs to another control VM or has an unknown format
    FolderMismatch = 7004, 500;
    /// an address could not be bound
    BindFailed = 7005, 500;
}

impl ResultCode {
    /// Returns the numeric value.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl std::error::Error for ResultCode {}

impl Serialize for ResultCode {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format_args!("unknown result code {number}")))
    }
}
