//! Helpers shared by the tests on real sockets.

/// Runs `test` on a current-thread runtime, as production processes do.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
