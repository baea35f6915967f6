//! Checks that docs/CAPACITY.md matches the stored runs, with the program `testbed scale page`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

fn docs() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

/// Runs `scale page` with the repository's rows and runs. Returns the exit code and what it printed.
fn run_scale_page(page: &Path, check: bool) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["scale", "page"]).arg(docs().join("scale")).arg(page).args(check.then_some("--check"));
    let output = command.output().expect("testbed starts");
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&printed).into_owned())
}

/// A run, a row or the page may be changed without regenerating the page, which then states outdated figures.
#[test]
fn capacity_page_matches_runs() {
    assert_eq!(run_scale_page(&docs().join("CAPACITY.md"), true), (Some(0), String::new()));
}

/// `--check` has to report the line that differs and leave the file alone; without `--check` the page is
/// regenerated. A check that rewrote the page, or found nothing, would let an outdated page pass.
#[test]
fn outdated_page_is_reported_and_regenerated() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("capacity-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("create test directory");
    let page = dir.join("page.md");
    let original = fs::read_to_string(docs().join("CAPACITY.md")).expect("read page");
    let modified = original.replacen("| 144,000,000 calls |", "| 144,000,001 calls |", 1);
    assert_ne!(original, modified);
    let line =
        1 + original.lines().zip(modified.lines()).position(|(a, b)| a != b).expect("one line differs");
    fs::write(&page, &modified).expect("write page");
    let (code, printed) = run_scale_page(&page, true);
    assert!(code == Some(1) && printed.contains(&format!("page.md:{line}: ")), "{printed}");
    assert_eq!(fs::read_to_string(&page).expect("read page"), modified);
    assert_eq!(run_scale_page(&page, false), (Some(0), String::new()));
    assert_eq!(fs::read_to_string(&page).expect("read page"), original);
    assert_eq!(run_scale_page(&dir.join("none.md"), true).0, Some(2));
    fs::remove_dir_all(&dir).expect("remove test directory");
}
