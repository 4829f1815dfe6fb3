//! Output, error messages and exit codes of the command-line tool.

use {
    rstest::rstest,
    std::{
        fs,
        process::{Command, Output},
    },
    tempfile::TempDir,
};

/// Invocation of the tool in a temporary directory.
struct Tool {
    directory: TempDir,
    command: Command,
}

impl Tool {
    fn new() -> Self {
        let directory = TempDir::new().expect("cannot create a temporary directory");
        let mut command = Command::new(env!("CARGO_BIN_EXE_turmerictack"));
        command.current_dir(directory.path());
        Self { directory, command }
    }

    fn file(self, name: &str, text: &str) -> Self {
        fs::write(self.directory.path().join(name), text).expect("cannot write a file");
        self
    }

    fn args(mut self, args: &[&str]) -> Self {
        self.command.args(args);
        self
    }

    fn run(mut self) -> Output {
        self.command.output().expect("cannot run the tool")
    }
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const SERVICES: &str = include_str!("../../../samples/glenmorrow.services.json");
const NODE_SETTINGS: &str = include_str!("../../../samples/node.json");

#[rstest]
fn a_valid_configuration_passes() {
    let output = Tool::new().file("s.json", SERVICES).args(&["check", "s.json"]).run();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "s.json: ok\n");
}

#[rstest]
fn an_invalid_configuration_is_rejected_with_line_and_column() {
    let bad = SERVICES.replace("\"depends_on\": [\"orders\"]", "\"depends_on\": [\"order\"]");
    let output = Tool::new().file("s.json", &bad).args(&["check", "s.json"]).run();
    assert_eq!(output.status.code(), Some(2));
    let message = stderr(&output);
    assert!(message.starts_with("turmerictack: s.json:"), "{message}");
    assert!(
        message.contains("depends on \"order\", which is not a service of this text"),
        "{message}"
    );
}

#[rstest]
fn invalid_node_settings_are_rejected_with_line_and_column() {
    let bad = NODE_SETTINGS.replace("\"workers\": 4", "\"workers\": \"four\"");
    let output = Tool::new().file("n.json", &bad).args(&["check", "--node", "n.json"]).run();
    assert_eq!(output.status.code(), Some(2));
    let message = stderr(&output);
    assert!(message.contains("n.json:13:3: invalid type: string \"four\""), "{message}");
}

#[rstest]
#[case(&[], "no command is given")]
#[case(&["apply", "s.json"], "--platform is missing")]
#[case(&["status"], "--nodes is missing")]
#[case(&["check", "absent.json"], "cannot read \"absent.json\"")]
fn invalid_arguments_are_rejected(#[case] args: &[&str], #[case] expected: &str) {
    let output = Tool::new().args(args).run();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

#[rstest]
#[case(&["show", "--platform", "http://127.0.0.1:1"])]
#[case(&["calls", "--open", "--platform", "http://127.0.0.1:1"])]
#[case(&["drain", "--key-file", "key", "127.0.0.1:1"])]
#[case(&["burn", "--key-file", "key", "--nodes", "127.0.0.1:1"])]
fn unreachable_endpoints_give_exit_code_4(#[case] args: &[&str]) {
    let output = Tool::new().file("key", "an operator's key").args(args).run();
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
}

#[rstest]
fn each_command_prints_its_help(
    #[values("check", "apply", "show", "status", "drain", "calls", "burn", "lift")] command: &str,
) {
    let output = Tool::new().args(&[command, "--help"]).run();
    assert_eq!(output.status.code(), Some(0));
    assert!(stderr(&output).contains("--help"));
}
