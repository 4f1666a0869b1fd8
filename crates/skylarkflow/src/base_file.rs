//! The generations that an operator's tables are based on, in a file beside the tables.
//!
//! The file belongs under version control together with the tables. An entry of the store with a higher generation was
//! changed by somebody else after these tables were made.

use {
    skylarkflow_store::plan::Generations,
    std::{
        fs,
        io::{self, ErrorKind},
        path::{Path, PathBuf},
    },
};

const EXTENSION: &str = "base.json";

/// Returns the default path, beside the table of routes.
pub fn default_path(routes: &Path) -> PathBuf {
    routes.with_extension(EXTENSION)
}

/// Reads the base; empty if the file does not exist, so that every entry of the store counts as changed by others.
///
/// # Errors
///
/// Fails if the file is not readable or is not a base.
pub fn read(path: &Path) -> io::Result<Generations> {
    match fs::read(path) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Generations::new()),
        Err(error) => Err(error),
    }
}

/// Replaces the base as a whole, so that an interrupted write leaves the older one.
///
/// # Errors
///
/// Fails if the directory is not writable.
pub fn write(path: &Path, base: &Generations) -> io::Result<()> {
    let mut text = serde_json::to_string_pretty(base)?;
    text.push('\n');
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    fs::write(&new, text)?;
    fs::rename(&new, path)
}
