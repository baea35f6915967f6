//! Checks that the files and items named in docs/ARCHITECTURE.md exist.

use std::path::Path;

/// The inline code spans of a Markdown page; fenced code blocks are skipped.
fn inline_code_spans(page: &str) -> Vec<&str> {
    let text_outside_fences = page.split("```").step_by(2);
    text_outside_fences.flat_map(|text| text.split('`').skip(1).step_by(2)).collect()
}

/// A file that is moved or renamed leaves a dead path on the page, which nothing else detects.
#[test]
fn architecture_page_paths_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("testbed is in a workspace directory");
    let page = std::fs::read_to_string(root.join("docs/ARCHITECTURE.md")).expect("read docs/ARCHITECTURE.md");
    let paths: Vec<&str> = inline_code_spans(&page).into_iter().filter(|name| name.contains('/')).collect();
    assert!(paths.len() > 20, "too few paths found on the page: {paths:?}");
    for path in paths {
        assert!(root.join(path).exists(), "docs/ARCHITECTURE.md names {path}, which does not exist");
    }
}

/// Each table row names a file and, before it, items of that file. Renaming or removing an item leaves an
/// outdated name on the page, which nothing else detects.
#[test]
fn architecture_page_items_exist_in_named_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("testbed is in a workspace directory");
    let page = std::fs::read_to_string(root.join("docs/ARCHITECTURE.md")).expect("read docs/ARCHITECTURE.md");
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let mut checked = 0;
    for row in rows {
        let names = inline_code_spans(row);
        let Some(file) = names.iter().find(|name| name.ends_with(".rs")) else { continue };
        let source = std::fs::read_to_string(root.join(file)).expect(file);
        let items = names.iter().take_while(|name| *name != file).filter(|name| !name.contains('/'));
        for item in items {
            let last = item.rsplit("::").next().expect("rsplit yields at least one part");
            assert!(
                source.contains(last),
                "docs/ARCHITECTURE.md names {item}, which {file} does not contain"
            );
            checked += 1;
        }
    }
    assert!(checked > 8, "too few items found on the page: {checked}");
}
