//! The `steer` command: runs a balancer that routes the packets of a flow by the cookie that they carry.

use {
    crate::{
        command::{CommandError, Result},
        logs, steer_daemon, steer_settings,
    },
    argh::FromArgs,
    std::{env, path::PathBuf},
};

/// Run a balancer that routes the packets of a flow by the cookie that they carry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
pub struct Steer {
    /// path of the YAML settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// environment variable that holds the path of the YAML settings
    #[argh(option)]
    settings_variable: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl Steer {
    /// Runs the balancer until a signal stops it.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or an address cannot be bound.
    pub fn run(self) -> Result {
        let path = self.settings_path()?;
        let settings = steer_settings::from_path(&path).map_err(CommandError::invalid_input)?;
        if self.check {
            return Ok(());
        }
        let writer = logs::start(&settings.log).map_err(CommandError::invalid_input)?;
        let result = steer_daemon::run(settings, path);
        writer.close();
        result.map_err(CommandError::invalid_input)
    }

    fn settings_path(&self) -> std::result::Result<PathBuf, CommandError> {
        match (&self.settings, &self.settings_variable) {
            (Some(path), None) => Ok(path.clone()),
            (None, Some(variable)) => env::var_os(variable).map(PathBuf::from).ok_or_else(|| {
                CommandError::invalid_arguments(format!(
                    "environment variable {variable} is not set"
                ))
            }),
            _ => Err(CommandError::invalid_arguments(
                "exactly one of --settings and --settings-variable is required",
            )),
        }
    }
}
