//! Checks that the functions, tests, types and modules that the pages in `docs/` refer to exist.

use std::fs;
use std::path::{Path, PathBuf};

/// The directories to which paths on the architecture page are relative.
const BASE_DIRECTORIES: [&str; 2] = ["crates", "crates/quillpulley/src"];
/// A quoted name with at least this many underscores is the name of a test.
const MIN_TEST_UNDERSCORES: usize = 4;
/// Marks the omitted beginning or end of an abbreviated name.
const ELLIPSIS: &str = "...";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page")
}

/// Returns the texts between backticks on a page.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

/// A source file of the workspace.
struct SourceFile {
    path: PathBuf,
    text: String,
}

fn source_files() -> Vec<SourceFile> {
    let mut files = Vec::new();
    let mut folders = vec![root().join("crates")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = fs::read_to_string(&path).expect("a source file");
                files.push(SourceFile { path, text });
            }
        }
    }
    files
}

impl SourceFile {
    /// Returns whether the file is this module, or is in the directory of the module.
    fn belongs_to(&self, module: &str) -> bool {
        let components = self.path.components().rev().take(3);
        components.into_iter().any(|component| {
            let name = Path::new(component.as_os_str()).with_extension("");
            name.to_string_lossy().replace('-', "_") == module
        })
    }

    /// Returns the names that the file defines with a keyword such as `fn`.
    fn defined<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a str> {
        let starts = self.text.match_indices(keyword).map(move |(at, _)| at + keyword.len());
        starts.filter_map(|start| {
            let rest = self.text[start..].strip_prefix(' ')?;
            let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_')?;
            Some(&rest[..end])
        })
    }

    fn defines(&self, keyword: &str, matches: impl Fn(&str) -> bool) -> bool {
        self.defined(keyword).any(matches)
    }
}

/// Returns whether `abbreviation`, which may omit the beginning or the end of a name, refers to `name`.
fn is_abbreviated_by(name: &str, abbreviation: &str) -> bool {
    match (abbreviation.strip_prefix(ELLIPSIS), abbreviation.strip_suffix(ELLIPSIS)) {
        (Some(end), Some(_)) => name.contains(end.trim_end_matches('.')),
        (Some(end), None) => name.ends_with(end),
        (None, Some(beginning)) => name.starts_with(beginning),
        (None, None) => name == abbreviation,
    }
}

/// Checks that a page refers to at least `min_count` functions as `file::function`, and that all of them exist.
fn assert_functions_exist(page: &str, min_count: usize) {
    let page = read_page(page);
    let references: Vec<(&str, &str)> = quoted(&page).filter_map(|text| text.split_once(".rs::")).collect();
    assert!(references.len() >= min_count, "{} references", references.len());
    let is_missing = |(file, function): &&(&str, &str)| {
        let paths = BASE_DIRECTORIES.iter().map(|base| root().join(base).join(format!("{file}.rs")));
        let Some(path) = paths.into_iter().find(|path| path.is_file()) else { return true };
        let text = fs::read_to_string(&path).expect("a source file");
        !SourceFile { path, text }.defines("fn", |name| name == *function)
    };
    let missing: Vec<_> = references.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Checks that a page names at least `min_count` tests, and that all of them exist.
fn assert_tests_exist(page: &str, min_count: usize) {
    let page = read_page(page);
    let files = source_files();
    let is_test = |text: &&str| {
        let is_name = text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "_:.".contains(c));
        is_name && text.matches('_').count() >= MIN_TEST_UNDERSCORES
    };
    let tests: Vec<&str> = quoted(&page).filter(is_test).collect();
    assert!(tests.len() >= min_count, "{} tests", tests.len());
    let is_missing = |text: &&&str| {
        let (modules, test) = text.rsplit_once("::").unwrap_or(("", text));
        let belongs = |file: &&SourceFile| {
            modules.split("::").filter(|module| !module.is_empty()).all(|module| file.belongs_to(module))
        };
        let mut files = files.iter().filter(belongs);
        // The name may also be that of an injected fault, which the module `faults` of its crate lists.
        let lists_fault =
            |file: &SourceFile| file.belongs_to("faults") && file.text.contains(&format!("{test},"));
        !files.any(|file| file.defines("fn", |name| is_abbreviated_by(name, test)) || lists_fault(file))
    };
    let missing: Vec<_> = tests.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn functions_of_the_architecture_page_exist() {
    assert_functions_exist("ARCHITECTURE.md", 40);
}

#[test]
fn tests_of_the_control_state_page_exist() {
    assert_tests_exist("CONTROL-STATE.md", 60);
}

#[test]
fn functions_and_tests_of_the_rules_page_exist() {
    assert_functions_exist("RULES.md", 30);
    assert_tests_exist("RULES.md", 35);
}

#[test]
fn types_and_modules_of_the_glossary_exist() {
    let page = read_page("GLOSSARY.md");
    let files = source_files();
    let types =
        page.lines().filter_map(|line| line.strip_suffix(" |")?.rsplit_once(" | ")).map(|(_, last)| last);
    let names: Vec<&str> = types.flat_map(quoted).collect();
    assert!(names.len() >= 50, "{} names", names.len());
    let is_defined = |name: &str| match name.starts_with(char::is_uppercase) {
        true => ["struct", "enum", "trait", "type"]
            .iter()
            .any(|keyword| files.iter().any(|file| file.defines(keyword, |defined| defined == name))),
        false => files.iter().any(|file| {
            file.belongs_to(name)
                || file.defines("fn", |defined| defined == name)
                || file.text.contains(&format!("{name}:"))
        }),
    };
    let missing: Vec<_> = names.iter().filter(|name| !name.split("::").all(is_defined)).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}
