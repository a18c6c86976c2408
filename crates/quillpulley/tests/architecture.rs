//! Checks that the functions that `docs/ARCHITECTURE.md` names exist.

use std::fs;
use std::path::{Path, PathBuf};

/// The folders that paths on the page are given from.
const BASES: [&str; 2] = ["../../crates", "src"];

/// A function that the page names.
#[derive(Debug)]
struct Reference {
    file: String,
    function: String,
}

/// Returns the references `file.rs::function` in a page.
fn references(page: &str) -> Vec<Reference> {
    let quoted = page.split('`').skip(1).step_by(2);
    let parse = |text: &str| {
        let (file, function) = text.split_once(".rs::")?;
        Some(Reference { file: format!("{file}.rs"), function: function.to_string() })
    };
    quoted.filter_map(parse).collect()
}

fn find(file: &str) -> Option<PathBuf> {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    BASES.iter().map(|base| manifest.join(base).join(file)).find(|path| path.is_file())
}

#[test]
fn functions_of_the_architecture_page_exist() {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(manifest.join("../../docs/ARCHITECTURE.md")).expect("the page");
    let references = references(&page);
    assert!(references.len() >= 40, "{} references", references.len());
    let is_missing = |reference: &&Reference| {
        let Some(path) = find(&reference.file) else { return true };
        let source = fs::read_to_string(path).expect("a source file");
        let definition = format!("fn {}", reference.function);
        !source.match_indices(&definition).any(|(at, _)| {
            let rest = &source[at + definition.len()..];
            rest.starts_with('(') || rest.starts_with('<')
        })
    };
    let missing: Vec<&Reference> = references.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}
