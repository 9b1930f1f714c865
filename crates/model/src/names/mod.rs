//! Names, numbers and identifiers that are shared between processes.

mod incarnation;

pub use incarnation::IncarnationId;

name_type! {
    /// A host, unique in the fleet.
    HostName;
    /// An availability zone.
    ZoneName;
    /// A fabric domain: hosts connected by fast links.
    DomainName;
    /// A provider of hosts, such as a cloud.
    ProviderName;
    /// A served model or plain service.
    ServiceName;
    /// A team of callers that has its own limits.
    TeamName;
    /// A briartray process, unique in the deployment.
    NodeName;
    /// A rule, unique in its rule book.
    RuleName;
}

number_type! {
    /// A group of hosts that serves as one replica; numbers are never reused.
    GroupId(u64);
    /// A fencing number; increases with every new assignment of a host.
    FencingNumber(u64);
    /// A revision of the rule book; increases by one with every accepted change.
    RevisionNumber(u64);
    /// An election term of the replicated control log.
    TermNumber(u64);
    /// A position in the replicated control log, starting at one.
    LogIndex(u64);
    /// A nonce that matches a lease grant to its request.
    LeaseNonce(u64);
    /// A planned stop.
    StopId(u64);
}

identity_type! {
    /// One attempt at one request; checked by every process that handles it and on every chunk.
    AttemptId;
    /// One request of a caller, the same for all of its attempts.
    RequestId;
    /// One change sent by an operator; a resend has the same id.
    ChangeId;
    /// Fingerprint (keyed hash) of a request's content; the same for every copy of the request,
    /// whatever its id.
    RequestFingerprint;
    /// One part of a prompt that several requests may share, such as a document or a system prompt.
    PartId;
}
