//! Every scenario holds, against processes, with several seeds of its waits.

use {
    rstest::rstest,
    std::{fs, path::PathBuf, sync::LazyLock},
    tokio::{runtime::Runtime, sync::Semaphore},
    turmerictack_standin::scenario::{language::parse, runner::run},
};

/// Fleets that run at once, so that a busy machine gives the same verdict.
const FLEETS: usize = 4;

static PLACES: LazyLock<Semaphore> = LazyLock::new(|| Semaphore::new(FLEETS));

#[rstest]
fn scenario(#[files("../../scenarios/*.scenario")] path: PathBuf, #[values(1, 2)] seed: u64) {
    let text = fs::read_to_string(&path).unwrap();
    let runtime = Runtime::new().unwrap();
    let result = runtime.block_on(async {
        let _place = PLACES.acquire().await.unwrap();
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
fn a_line_that_is_no_statement_is_refused_with_its_number(#[case] line: &str) {
    let refused = parse("f", &format!("# comment\n\n{line}\n")).unwrap_err().to_string();
    assert_eq!(refused, "f:3: expected a statement of the scenario language");
}
