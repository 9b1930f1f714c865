//! What the tests on real sockets share.

/// Runs `test` on a current-thread runtime, as the processes do.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
