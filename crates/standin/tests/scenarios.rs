//! Runs every scenario file against real processes, with several seeds for its random waits.

use {
    rstest::rstest,
    std::{fs, path::PathBuf, sync::LazyLock},
    tokio::{runtime::Runtime, sync::Semaphore},
    turmerictack_standin::scenario::{language::parse, runner::run},
};

/// Maximum number of fleets that run concurrently: more could overload the machine and make the
/// results depend on timing.
const MAX_CONCURRENT_FLEETS: usize = 4;

static FLEET_PERMITS: LazyLock<Semaphore> = LazyLock::new(|| Semaphore::new(MAX_CONCURRENT_FLEETS));

#[rstest]
fn scenario(#[files("../../scenarios/*.scenario")] path: PathBuf, #[values(1, 2)] seed: u64) {
    let text = fs::read_to_string(&path).unwrap();
    let runtime = Runtime::new().unwrap();
    let result = runtime.block_on(async {
        let _permit = FLEET_PERMITS.acquire().await.unwrap();
        run(&path.display().to_string(), &text, seed).await
    });
    if let Err(e) = result {
        panic!("seed {seed}: {e}");
    }
}

#[rstest]
#[case("fleet nodes=3 wheels=4")]
#[case("chat a via n1 rank royal chunks 3")]
#[case("expect a happy")]
#[case("wait 5 minutes")]
fn an_invalid_statement_is_rejected_with_its_line_number(#[case] line: &str) {
    let error = parse("f", &format!("# comment\n\n{line}\n")).unwrap_err().to_string();
    assert_eq!(error, "f:3: expected a statement of the scenario language");
}
