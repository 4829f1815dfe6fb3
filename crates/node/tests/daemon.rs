//! The daemon rejects invalid settings before it binds a listener.

use {
    rstest::rstest,
    std::{fs, process::Command},
};

const NODE_SETTINGS: &str = include_str!("../../../samples/node.json");

#[rstest]
#[case("\"log_level\": \"info\"", "\"log_level\": \"loud\"", "unknown variant `loud`")]
#[case("\"node\": \"n1\"", "\"nodes\": \"n1\"", "unknown field `nodes`")]
#[case("replace-this-peer-key", "short", "peer_key is 5 bytes long, expected at least 16")]
fn invalid_settings_are_rejected(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = NODE_SETTINGS.replace(from, to);
    assert_ne!(text, NODE_SETTINGS);
    let path = std::env::temp_dir().join(format!("turmerictackd-{}.json", message.len()));
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_turmerictackd"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains(message), "{stderr}");
}

#[rstest]
fn missing_settings_are_rejected() {
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_turmerictackd"));
    let output = daemon.args(["--settings", "absent.json"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
