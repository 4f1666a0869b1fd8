//! Client of the platform, which makes the calls that the control thread requests.

use {
    crate::{context::Context, control::Input, event, metrics::Counter},
    skylarkflow_policy::config_reader::{Answer, Call, CallKind, Stored},
    skylarkflow_store::{error::Category, object, store::Store, wire::Object},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Time for which the platform holds a watch open if nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

struct PlatformClient {
    context: Arc<Context>,
    store: Store,
    is_failing: AtomicBool,
}

/// Makes calls until the control thread ends. Each call has its own task, so that a waiting watch delays no other call.
pub async fn run(context: Arc<Context>, mut calls: mpsc::Receiver<Call>) {
    let client = Arc::new(PlatformClient {
        store: Store::new(&context.settings.platform),
        context,
        is_failing: AtomicBool::default(),
    });
    while let Some(call) = calls.recv().await {
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            let answer = client.execute_call(call).await;
            client.context.enqueue_input(Input::PlatformAnswer(answer));
        });
    }
}

impl PlatformClient {
    async fn execute_call(&self, call: Call) -> Answer {
        self.context.metrics.count(Counter::PlatformCalls);
        match call {
            Call::List => match self.log_result(self.store.list("").await) {
                Some(listing) => Answer::Listed {
                    revision: listing.revision,
                    objects: self.read_configuration(listing.objects),
                },
                None => Answer::Failed(CallKind::List),
            },
            Call::Watch { after } => {
                let listing = self.store.watch("", after, WATCH_TIMEOUT).await;
                match self.log_result(listing) {
                    Some(listing) => Answer::Watched {
                        revision: listing.revision,
                        objects: self.read_configuration(listing.objects),
                    },
                    None => Answer::Failed(CallKind::Watch),
                }
            }
            Call::Vms => match self.log_result(self.store.list_vms().await) {
                Some(vms) => Answer::Vms(vms),
                None => Answer::Failed(CallKind::Vms),
            },
            Call::Put { object, version } => {
                let Some(value) = object::to_value(&object) else {
                    return Answer::Failed(CallKind::Put);
                };
                match self.store.put(&object.key, &value, version).await {
                    Ok(_) => Answer::Written,
                    Err(error) if error.category() == Category::Conflict => Answer::Conflict,
                    Err(error) => {
                        self.record_failure(&error);
                        Answer::Failed(CallKind::Put)
                    }
                }
            }
        }
    }

    /// Returns the value of a successful result; logs a failure, or the first success after one.
    fn log_result<T>(&self, result: skylarkflow_store::Result<T>) -> Option<T> {
        match result {
            Ok(value) => {
                if self.is_failing.swap(false, Ordering::Relaxed) {
                    let text = format_args!("platform {}", self.context.settings.platform);
                    self.context
                        .event_log
                        .record(&event::PLATFORM_RECOVERED, text);
                }
                Some(value)
            }
            Err(error) => {
                self.record_failure(&error);
                None
            }
        }
    }

    fn record_failure(&self, error: &skylarkflow_store::Error) {
        self.is_failing.store(true, Ordering::Relaxed);
        let text = format_args!("{error}");
        self.context
            .count_and_log(Counter::PlatformFailed, &event::PLATFORM_FAILED, text);
    }

    /// Decodes the routes and pools among `objects`. A malformed one is logged and skipped, so that its last valid
    /// version stays active.
    fn read_configuration(&self, objects: Vec<Object>) -> Vec<Stored> {
        let mut stored = Vec::new();
        for object in objects {
            if !object::is_configuration(&object.key) {
                continue;
            }
            match object::from_wire(object) {
                Ok(object) => stored.push(object),
                Err(error) => {
                    let now = self.context.clock.now();
                    let text = format_args!("{error}");
                    self.context
                        .event_log
                        .record_limited(now, &event::OBJECT_MALFORMED, text);
                }
            }
        }
        stored
    }
}
