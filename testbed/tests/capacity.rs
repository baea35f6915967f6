//! The page docs/CAPACITY.md and the runs it rests on, from outside.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

fn docs() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

/// How `scale page` ends with the repository's own rows and runs, and what it says.
fn renew(page: &Path, check: bool) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["scale", "page"]).arg(docs().join("scale")).arg(page).args(check.then_some("--check"));
    let output = command.output().expect("the testbed starts");
    let said = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&said).into_owned())
}

/// Guards against a page and runs that have drifted apart.
#[test]
fn the_page_says_what_the_runs_say() {
    assert_eq!(renew(&docs().join("CAPACITY.md"), true), (Some(0), String::new()));
}

/// Guards against a check that finds nothing, and against one that mends what it is to find.
#[test]
fn a_page_that_says_something_else_is_found_and_made_anew() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("capacity-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let page = dir.join("page.md");
    let right = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");
    let wrong = right.replacen("| 144,000,000 calls |", "| 144,000,001 calls |", 1);
    assert_ne!(right, wrong);
    let line = 1 + right.lines().zip(wrong.lines()).position(|(a, b)| a != b).expect("one line");
    fs::write(&page, &wrong).expect("written");
    let (code, said) = renew(&page, true);
    assert!(code == Some(1) && said.contains(&format!("page.md:{line}: ")), "{said}");
    assert_eq!(fs::read_to_string(&page).expect("the page"), wrong);
    assert_eq!(renew(&page, false), (Some(0), String::new()));
    assert_eq!(fs::read_to_string(&page).expect("the page"), right);
    assert_eq!(renew(&dir.join("none.md"), true).0, Some(2));
    fs::remove_dir_all(&dir).expect("the folder goes");
}
