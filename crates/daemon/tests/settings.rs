//! The daemon as a program: what it does with settings that cannot be used.

use std::process::Command;

#[test]
fn missing_settings_end_the_program_with_their_name() {
    // A path is mistyped in a unit file. The program must not run with made-up settings, and its
    // message must name the file.
    let output = Command::new(env!("CARGO_BIN_EXE_briartrayd"))
        .args(["--settings", "/no-such-folder/entry.yaml"])
        .output()
        .expect("the daemon starts");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/no-such-folder/entry.yaml"));
}
