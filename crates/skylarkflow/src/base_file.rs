//! The base file: the generation of each store entry that an operator's tables are based on.
//!
//! The file lies beside the tables and belongs under version control with them. An entry with a higher generation in
//! the store was changed by another operator since then.

use {
    skylarkflow_store::plan::Generations,
    std::{
        fs,
        io::{self, ErrorKind},
        path::{Path, PathBuf},
    },
};

const EXTENSION: &str = "base.json";

/// Returns the default path: that of the table of routes with the extension `base.json`.
pub fn default_path(routes: &Path) -> PathBuf {
    routes.with_extension(EXTENSION)
}

/// Reads the base file.
///
/// A missing file counts as an empty base, so that every entry of the store counts as changed by another operator.
///
/// # Errors
///
/// Fails if the file cannot be read or is not a JSON map of generations.
pub fn read(path: &Path) -> io::Result<Generations> {
    match fs::read(path) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Generations::new()),
        Err(error) => Err(error),
    }
}

/// Replaces the file atomically, so that an interrupted write leaves the previous content.
///
/// # Errors
///
/// Fails if the directory is not writable.
pub fn write(path: &Path, base: &Generations) -> io::Result<()> {
    let mut text = serde_json::to_string_pretty(base)?;
    text.push('\n');
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    fs::write(&temporary, text)?;
    fs::rename(&temporary, path)
}
