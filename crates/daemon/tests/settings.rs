//! End-to-end tests of the `briartrayd` program with unusable settings.

use std::process::Command;

#[test]
fn missing_settings_end_the_program_with_their_name() {
    // The path of the settings file is wrong. The program must not run with default settings, and
    // its error message must name the file.
    let output = Command::new(env!("CARGO_BIN_EXE_briartrayd"))
        .args(["--settings", "/no-such-folder/entry.yaml"])
        .output()
        .expect("the daemon starts");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/no-such-folder/entry.yaml"));
}
