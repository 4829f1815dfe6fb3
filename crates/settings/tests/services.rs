//! Valid configurations are parsed, and faults in invalid ones are reported with their position.

use {
    rstest::rstest,
    turmerictack_settings::{
        dependencies::{dependency_order, down_dependency},
        node::NodeSettings,
        services::Services,
    },
};

const ASOCIACION: &str = include_str!("../../../samples/asociacion.services.json");
const GLENMORROW: &str = include_str!("../../../samples/glenmorrow.services.json");
const NODE: &str = include_str!("../../../samples/node.json");

#[rstest]
#[case(ASOCIACION)]
#[case(GLENMORROW)]
fn sample_services_are_valid(#[case] text: &str) {
    Services::parse("sample", text).unwrap();
}

#[rstest]
fn sample_node_settings_are_valid() {
    NodeSettings::parse("node.json", NODE).unwrap();
}

const BASE: &str = r#"{
  // test caller
  "callers": [{"id": "a", "key_sha256": "KEY", "highest_rank": "urgent"}],
  "ranks": {
    "urgent": {"floor_percent": 10, "first_token_ms": 570, "between_tokens_ms": 55,
      "silence_ms": 1000, "queue_wait_ms": 1000, "queue_limit": 5},
    "standard": {"floor_percent": 10, "first_token_ms": 570, "between_tokens_ms": 55,
      "silence_ms": 1000, "queue_wait_ms": 1000, "queue_limit": 5},
    "batch": {"floor_percent": 10, "first_token_ms": 570, "between_tokens_ms": 55,
      "silence_ms": 1000, "queue_wait_ms": 1000, "queue_limit": 5}
  },
  "services": [
    {"id": "notes", "kind": "model", "pool": "p", "model": "m", "groups": 1, "group_size": 4,
      "depends_on": ["crews"]},
    {"id": "crews", "kind": "plain", "pool": "q", "depends_on": []}
  ]
}"#;

fn base() -> String {
    BASE.replace("KEY", &"0".repeat(64))
}

#[rstest]
#[case::unknown_field(r#""kind": "plain""#, r#""kidn": "plain""#, "t:15:21: unknown field `kidn`")]
#[case::wrong_type(r#""groups": 1"#, r#""groups": "one""#, "t:13:65: invalid type")]
#[case::unknown_dependency(r#"["crews"]"#, r#"["crew"]"#, "t:14:22: service \"notes\" depends on")]
#[case::cycle(
    r#""depends_on": []"#,
    r#""depends_on": ["notes"]"#,
    "t:14:7: the dependencies of the services"
)]
#[case::floor_sum(
    r#"{"floor_percent": 10"#,
    r#"{"floor_percent": 40"#,
    "t:4:3: sum of floor_percent over"
)]
#[case::duplicate_id(
    r#""id": "crews""#,
    r#""id": "notes""#,
    "t:15:6: duplicate id \"notes\" in \"services\""
)]
#[case::missing_group_size(
    r#", "group_size": 4"#,
    "",
    "t:13:5: a model service requires \"group_size\""
)]
#[case::bad_hash("0000", "zz", "t:3:27: key_sha256 is")]
#[case::missing_comma(r#""p", "model""#, r#""p" "model""#, "t:13:49: invalid JSON")]
fn invalid_services_are_rejected_with_position(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = base().replace(from, to);
    assert_ne!(text, base());
    let error = Services::parse("t", &text).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[rstest]
#[case::address(r#""127.0.0.1:8080""#, r#""localhost:8080""#, "caller_address is localhost:8080")]
#[case::workers(r#""workers": 4"#, r#""workers": 0"#, "workers is 0, expected 1 to 64")]
#[case::unknown(r#""workers""#, r#""wrokers""#, "unknown field `wrokers`")]
fn invalid_node_settings_are_rejected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = NODE.replace(from, to);
    assert_ne!(text, NODE);
    let error = NodeSettings::parse("t", &text).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert!(error.position.line > 1);
}

#[rstest]
fn dependencies_are_ordered_and_checked_transitively() {
    let services = Services::parse("t", &base()).unwrap();
    assert_eq!(dependency_order(&services), ["crews", "notes"]);
    assert_eq!(down_dependency(&services, "notes", &|id| id != "crews"), Some("crews"));
    assert_eq!(down_dependency(&services, "notes", &|_| true), None);
}
