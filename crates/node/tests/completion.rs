//! Parsing of completion requests.

use {
    rstest::rstest,
    serde_json::{Value, json},
    turmerictack_node::{
        call::Payload,
        front::completion::{CompletionApi, CompletionError, parse},
    },
};

fn payload(body: &str) -> (Value, u64, u64) {
    let completion = parse(CompletionApi::Chat, body.as_bytes()).expect("a valid request");
    let Payload::Model { body, prefix_hash, cost, .. } = completion.payload else {
        panic!("a call to a model")
    };
    (serde_json::from_slice(&body).expect("JSON"), prefix_hash, cost)
}

#[rstest]
fn fields_are_passed_on_and_the_engine_streams() {
    let request = json!({
        "model": "m", "messages": [{"role": "user", "content": "a \"b\" \u{e9}"}], "stream": false,
        "max_tokens": 7, "stop": ["x", "y"], "logit_bias": {"1": -1.5},
    });
    let (body, ..) = payload(&request.to_string());
    let mut expected = request;
    expected["stream"] = json!(true);
    assert_eq!(body, expected);
}

#[rstest]
fn names_may_have_escapes() {
    let (body, ..) = payload(r#"{"mod\u0065l": "m", "prompt": "p"}"#);
    assert_eq!(body["model"], "m");
}

#[rstest]
#[case::array("[1]", CompletionError::NotAnObject)]
#[case::rest_behind(r#"{"model": "m", "prompt": "p"} x"#, CompletionError::NotAnObject)]
#[case::invalid_value(r#"{"model": "m", "prompt": tru}"#, CompletionError::NotAnObject)]
#[case::no_model(r#"{"prompt": "p"}"#, CompletionError::MissingModel)]
#[case::model_is_a_number(r#"{"model": 1, "prompt": "p"}"#, CompletionError::MissingModel)]
#[case::no_prompt(r#"{"model": "m"}"#, CompletionError::MissingPrompt)]
fn invalid_requests_are_rejected(#[case] body: &str, #[case] error: CompletionError) {
    assert_eq!(parse(CompletionApi::Text, body.as_bytes()), Err(error));
}

/// Guards against requests whose many small values take far more memory than their text.
#[rstest]
fn number_of_fields_is_limited() {
    let fields: Vec<String> = (0..300).map(|n| format!(r#""f{n}":0"#)).collect();
    let body = format!(r#"{{"model":"m","prompt":"p",{}}}"#, fields.join(","));
    assert_eq!(parse(CompletionApi::Text, body.as_bytes()), Err(CompletionError::NotAnObject));
}
