//! Logger of the process: log lines as text or JSON, written by a separate thread.
//!
//! The threads that handle datagrams pass lines to the writing thread through a bounded queue, so that a slow disk or
//! terminal cannot block them. Lines that do not fit into the queue are dropped and counted.

use {
    crate::settings::{Format, Log, Stream},
    crossbeam::channel::{self, Receiver, Sender, TrySendError},
    fern::{Dispatch, FormatCallback, Output},
    log::{Record, SetLoggerError, kv::Key},
    serde_json::json,
    std::{
        fmt::Arguments,
        fs::OpenOptions,
        io::{self, Write},
        sync::atomic::{AtomicU64, Ordering},
        thread::{self, JoinHandle},
        time::SystemTime,
    },
};

/// Number of lines dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Handle of the writing thread.
pub struct LogWriter {
    /// An empty line tells the thread to end.
    lines: Sender<Vec<u8>>,
    thread: JoinHandle<()>,
}

/// Installs the logger of the process and starts its writing thread.
///
/// # Errors
///
/// Fails if the log file of the settings cannot be opened or a logger is already installed.
pub fn start(settings: &Log) -> io::Result<LogWriter> {
    let output: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().append(true).create(true).open(path)?),
        None => match settings.output {
            Stream::Stderr => Box::new(io::stderr()),
            Stream::Stdout => Box::new(io::stdout()),
        },
    };
    let (sender, receiver) = channel::bounded(settings.queue.0);
    install_logger(settings, sender.clone()).map_err(io::Error::other)?;
    let thread = thread::Builder::new().name("log".to_owned());
    let thread = thread.spawn(move || write_lines(&receiver, output))?;
    Ok(LogWriter {
        lines: sender,
        thread,
    })
}

/// Returns the number of lines that were dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

impl LogWriter {
    /// Writes the queued lines and ends the thread.
    pub fn close(self) {
        let _ = self.lines.send(Vec::new());
        let _ = self.thread.join();
    }
}

fn enqueue_line(lines: &Sender<Vec<u8>>, record: &Record<'_>) {
    let line = format!("{}\n", record.args()).into_bytes();
    if let Err(TrySendError::Full(_)) = lines.try_send(line) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn install_logger(settings: &Log, lines: Sender<Vec<u8>>) -> Result<(), SetLoggerError> {
    let output = Output::call(move |record| enqueue_line(&lines, record));
    let mut dispatch = Dispatch::new().level(settings.level.filter());
    for (target, level) in &settings.targets {
        dispatch = dispatch.level_for(target.clone(), level.filter());
    }
    let dispatch = match settings.format {
        Format::Text => dispatch.format(format_text),
        Format::Json => dispatch.format(format_json),
    };
    dispatch.chain(output).apply()
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: Box<dyn Write + Send>) {
    for line in lines {
        if line.is_empty() {
            break;
        }
        let _ = output.write_all(&line);
        if lines.is_empty() {
            let _ = output.flush();
        }
    }
    let _ = output.flush();
}

fn format_text(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let level = record.level();
    let target = record.target();
    let event = key_value(record, "event").unwrap_or_default();
    let balancer = key_value(record, "balancer").unwrap_or_default();
    out.finish(format_args!(
        "{time} {level:5} {target} {event} {balancer}: {message}"
    ));
}

fn format_json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let line = json!({
        "time": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "event": key_value(record, "event"),
        "balancer": key_value(record, "balancer"),
        "message": message.to_string(),
    });
    out.finish(format_args!("{line}"));
}

fn key_value(record: &Record<'_>, key: &str) -> Option<String> {
    let value = record.key_values().get(Key::from_str(key))?;
    Some(value.to_string())
}
