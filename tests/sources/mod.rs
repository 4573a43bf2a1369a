//! Finds the program's source files, for tests that read them.

use std::path::{Path, PathBuf};

/// Adds every source file below a folder, except test files.
pub fn below(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        let is = |name: &str| path.file_name().is_some_and(|n| n == name);
        if path.is_dir() && !is("tests") {
            below(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs") && !is("tests.rs") {
            into.push(path);
        }
    }
}
