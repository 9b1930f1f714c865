//! Entry to control: use of the retry allowance that all entries share.

use crate::names::ServiceName;

plain_value! {
    /// Use of the retry allowance by one process of an entry.
    #[derive(Default)]
    pub struct AllowanceReport {
        /// Random identity of this run of the process.
        pub incarnation: u64,
        /// Whether the entry is stopping and holds no share any more.
        pub leaving: bool,
        /// Services that the entry sends requests to.
        pub services: Vec<AllowanceUse>,
    }

    /// Use of the retry allowance of one service.
    pub struct AllowanceUse {
        /// The service.
        pub service: ServiceName,
        /// Share that the entry holds, in retries per window.
        pub held: u64,
        /// Retries that the entry took from the allowance within the window.
        pub used: u64,
        /// Share that the entry could use.
        pub demand: u64,
    }

    /// Share of the retry allowance that the leader grants to an entry.
    pub struct AllowanceGrant {
        /// The service.
        pub service: ServiceName,
        /// The share, in retries per window.
        pub share: u64,
    }
}
