//! The `apply` command.

use {
    crate::{
        base_file,
        command::{CommandError, Result},
        status, table_files,
    },
    argh::FromArgs,
    log::LevelFilter,
    serde_json::json,
    skylarkflow_store::{
        apply::{Outcome, Writer},
        check::{self, Tables},
        plan::{self, Action, Conflict, Generations, Plan, Settings, StoredObjects},
        store::Store,
        wire::{POOL_PREFIX, ROUTE_PREFIX},
    },
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::runtime,
};

/// Write the difference between both tables and the store. With findings, or a conflict that is found before the first
/// write, nothing is written. A second run completes an interrupted apply.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "Look at the plan, then write it:\n$ {command_name} --routes routes.yaml --pools pools.yaml --platform http://10.0.0.5:8080 --dry-run\n$ {command_name} --routes routes.yaml --pools pools.yaml --platform http://10.0.0.5:8080",
    example = "After the store was restored, ask a balancer which generations are active:\n$ {command_name} --routes routes.yaml --pools pools.yaml --platform http://10.0.0.5:8080 --balancer 10.0.0.11:9000",
    example = "Replace another operator's edit on purpose:\n$ {command_name} --routes routes.yaml --pools pools.yaml --platform http://10.0.0.5:8080 --replace pools/dispatch@7",
    error_code(
        1,
        "The store or a given balancer did not answer in time; the output lists the entries that were written."
    ),
    error_code(
        2,
        "The tables have findings, or the arguments are invalid; nothing is written."
    ),
    error_code(
        3,
        "Another operator has changed an entry; the output shows both versions."
    )
)]
pub struct Apply {
    /// path of the table of routes
    #[argh(option)]
    routes: PathBuf,
    /// path of the table of pools
    #[argh(option)]
    pools: PathBuf,
    /// base URL of the platform
    #[argh(option)]
    platform: String,
    /// path of the file with the generations that the tables are based on; default: path of the table of routes with
    /// the extension base.json
    #[argh(option)]
    base: Option<PathBuf>,
    /// key and generation of another operator's edit to replace, such as pools/dispatch@7; repeatable
    #[argh(option)]
    replace: Vec<EditReference>,
    /// address of the administration API of a balancer to query for its active generations; repeatable
    #[argh(option)]
    balancer: Vec<SocketAddr>,
    /// path of the file with the token of the administration API
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// timeout of the whole apply, default 30s
    #[argh(option, default = "Duration::from_secs(30)", from_str_fn(duration))]
    timeout: Duration,
    /// print the plan and write nothing
    #[argh(switch)]
    dry_run: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Key and generation of another operator's edit, written `KEY@GENERATION`.
#[derive(Clone, Debug)]
struct EditReference {
    key: String,
    generation: u64,
}

impl argh::FromArgValue for EditReference {
    fn from_arg_value(value: &str) -> std::result::Result<EditReference, String> {
        let (key, generation) = value
            .split_once('@')
            .ok_or_else(|| format!("`{value}` is not KEY@GENERATION"))?;
        let generation = generation
            .parse()
            .map_err(|_| format!("`{generation}` after @ is not a generation"))?;
        Ok(EditReference {
            key: key.to_owned(),
            generation,
        })
    }
}

/// Parses a duration such as `30s`.
pub fn duration(value: &str) -> std::result::Result<Duration, String> {
    humantime::parse_duration(value).map_err(|error| error.to_string())
}

impl Apply {
    /// Runs the command.
    pub fn run(self) -> Result {
        let checked = table_files::read_and_check(&self.routes, &self.pools);
        let tables = checked.map_err(|findings| self.report_findings(&findings))?;
        log_retries_to_stderr();
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.apply(&tables))
    }

    async fn apply(&self, tables: &Tables) -> Result {
        let settings = self.plan_settings().await?;
        let writer = Writer::new(Store::new(&self.platform), self.timeout);
        let current = writer.read().await.map_err(CommandError::runtime)?;
        let (routes, pools) = (current.present(ROUTE_PREFIX), current.present(POOL_PREFIX));
        let findings = check::moved_addresses(tables, &routes, &pools);
        if !findings.is_empty() {
            return Err(self.report_findings(&findings));
        }
        let plan = plan::plan(tables, &current, &settings);
        if self.dry_run || !plan.conflicts.is_empty() {
            self.print_plan(&plan);
            return check_conflicts(&plan.conflicts);
        }
        let outcome = writer.apply(&plan, &settings.edit).await;
        self.print_outcome(&plan, &outcome);
        self.save_base(settings, &plan, &outcome)?;
        check_outcome(outcome)?;
        check_shared_addresses(&writer).await
    }

    async fn plan_settings(&self) -> std::result::Result<Settings, CommandError> {
        let base = base_file::read(&self.base_path()).map_err(CommandError::invalid_input)?;
        let replace = self.replace.iter();
        let active_generations = if self.balancer.is_empty() {
            Generations::new()
        } else {
            let token = status::read_token(self.token_file.as_deref())?;
            status::active_generations(&self.balancer, token).await?
        };
        Ok(Settings {
            edit: format!("{:032x}", rand::random::<u128>()),
            active_generations,
            base: Some(base),
            replace: replace
                .map(|edit| (edit.key.clone(), edit.generation))
                .collect(),
        })
    }

    fn base_path(&self) -> PathBuf {
        let path = self.base.clone();
        path.unwrap_or_else(|| base_file::default_path(&self.routes))
    }

    fn report_findings(&self, findings: &[skylarkflow_store::finding::Finding]) -> CommandError {
        if self.json {
            println!("{}", json!({ "findings": findings }));
        } else {
            table_files::print_findings(findings);
        }
        CommandError::findings(findings.len())
    }

    fn print_plan(&self, plan: &Plan) {
        if self.json {
            println!("{}", json!({ "plan": plan }));
            return;
        }
        for step in &plan.steps {
            println!("{step}");
            if step.action == Action::Update {
                step.fields.iter().for_each(|field| println!("  {field}"));
            }
        }
        plan.conflicts
            .iter()
            .for_each(|conflict| println!("conflict: {conflict}"));
    }

    fn print_outcome(&self, plan: &Plan, outcome: &Outcome) {
        if self.json {
            let error = outcome.error.as_ref().map(ToString::to_string);
            let report = json!({
                "written": outcome.written, "missing": outcome.unwritten,
                "conflict": outcome.conflict, "error": error,
            });
            println!("{report}");
            return;
        }
        let written = |key: &str| outcome.written.contains_key(key);
        for step in plan.writes().filter(|step| written(&step.key)) {
            println!("{step}");
        }
        let unchanged = plan.steps.len() - plan.writes().count();
        println!(
            "{} written, {unchanged} unchanged, {} not written",
            outcome.written.len(),
            outcome.unwritten.len()
        );
        outcome
            .unwritten
            .iter()
            .for_each(|key| println!("not written: {key}"));
        if let Some(conflict) = &outcome.conflict {
            println!("conflict: {conflict}");
        }
    }

    /// Writes the generations that this operator has seen to the base file, also after an interrupted apply, so that a
    /// second run does not conflict with the first.
    fn save_base(&self, settings: Settings, plan: &Plan, outcome: &Outcome) -> Result {
        let mut base = settings.base.unwrap_or_default();
        let unchanged = plan.steps.iter();
        let unchanged = unchanged.filter(|step| step.action == Action::Unchanged);
        base.extend(unchanged.map(|step| (step.key.clone(), step.generation)));
        base.extend(outcome.written.clone());
        Ok(base_file::write(&self.base_path(), &base)?)
    }
}

/// Logs failed calls to the store on standard error, so that the operator sees why an apply is slow.
fn log_retries_to_stderr() {
    let output = fern::Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("skylarkflow_store", LevelFilter::Warn)
        .format(|out, message, _| out.finish(format_args!("skylarkflow: {message}")))
        .chain(io::stderr());
    // Fails if a logger is already set, which then gets these lines.
    let _ = output.apply();
}

fn check_conflicts(conflicts: &[Conflict]) -> Result {
    if conflicts.is_empty() {
        return Ok(());
    }
    let text = format!("{} conflicts; nothing was changed", conflicts.len());
    Err(CommandError::edit_conflict(text))
}

fn check_outcome(outcome: Outcome) -> Result {
    if let Some(conflict) = outcome.conflict {
        let text = format!(
            "{} was changed by another operator during this apply",
            conflict.key
        );
        return Err(CommandError::edit_conflict(text));
    }
    match outcome.error {
        Some(error) => Err(CommandError::runtime(format!(
            "{error}; run the command again to continue"
        ))),
        None => Ok(()),
    }
}

/// Checks after the writes that no address belongs to two services.
///
/// Two operators may have added it to different entries at the same time, which no conflict of an entry shows.
async fn check_shared_addresses(writer: &Writer) -> Result {
    let current: StoredObjects = writer.read().await.map_err(CommandError::runtime)?;
    let (routes, pools) = (current.present(ROUTE_PREFIX), current.present(POOL_PREFIX));
    let overlaps = check::shared_addresses(&routes, &pools);
    if overlaps.is_empty() {
        return Ok(());
    }
    let text = format!(
        "an address is in two services after concurrent edits: {}",
        overlaps.join("; ")
    );
    Err(CommandError::edit_conflict(text))
}
