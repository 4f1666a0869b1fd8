//! The `steer` command: a balancer that steers flows by cookies, as a process with its logs and signals.

use {
    crate::{
        command::{CommandError, Result},
        logs, steer_daemon, steer_settings,
    },
    argh::FromArgs,
    std::{env, path::PathBuf},
};

/// Run a balancer that steers flows by the cookies in their packets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
pub struct Steer {
    /// path of the YAML settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// environment variable that holds the path of the YAML settings
    #[argh(option)]
    settings_variable: Option<String>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

impl Steer {
    /// Runs the balancer and returns after its planned stop.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not usable or an address cannot be bound.
    pub fn run(self) -> Result {
        let path = self.path()?;
        let settings = steer_settings::from_path(&path).map_err(CommandError::invalid_input)?;
        if self.check {
            return Ok(());
        }
        let writer = logs::start(&settings.log).map_err(CommandError::invalid_input)?;
        let ended = steer_daemon::run(settings, path);
        writer.close();
        ended.map_err(CommandError::invalid_input)
    }

    fn path(&self) -> std::result::Result<PathBuf, CommandError> {
        match (&self.settings, &self.settings_variable) {
            (Some(path), None) => Ok(path.clone()),
            (None, Some(variable)) => env::var_os(variable).map(PathBuf::from).ok_or_else(|| {
                CommandError::invalid_arguments(format!("the variable {variable} is not set"))
            }),
            _ => Err(CommandError::invalid_arguments(
                "either --settings or --settings-variable is needed",
            )),
        }
    }
}
