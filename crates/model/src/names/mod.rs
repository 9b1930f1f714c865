//! Names and numbers that identify things across processes.

mod incarnation;

pub use incarnation::IncarnationId;

name_type! {
    /// A host, unique in the fleet.
    HostName;
    /// An availability zone.
    ZoneName;
    /// A fabric domain: hosts with fast links among themselves.
    DomainName;
    /// A provider of hosts.
    ProviderName;
    /// A served model or plain service.
    ServiceName;
    /// A team of callers with limits of its own.
    TeamName;
    /// A process of the system, unique in the deployment.
    NodeName;
    /// A rule, unique in its book.
    RuleName;
}

number_type! {
    /// A group of hosts that serves as one replica; never reused.
    GroupId(u64);
    /// A fencing number; grows with every new assignment of a host.
    FencingNumber(u64);
    /// A revision of the rule book; grows by one with every accepted change.
    RevisionNumber(u64);
    /// An election term of the control log.
    TermNumber(u64);
    /// A position in the control log, starting at one.
    LogIndex(u64);
    /// A nonce that pairs a lease request with its grant.
    LeaseNonce(u64);
    /// A planned stop.
    StopId(u64);
}

identity_type! {
    /// One attempt at one request; checked at every hop and on every chunk.
    AttemptId;
    /// One caller request, across all of its attempts.
    RequestId;
    /// One change sent by an operator; a resend carries the same id.
    ChangeId;
    /// What a caller asks for, whatever id a copy of the request has.
    RequestFingerprint;
}
