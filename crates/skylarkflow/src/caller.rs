//! Calls of the platform, which the control thread asks for.

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

/// Time that a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_secs(25);

struct Caller {
    context: Arc<Context>,
    store: Store,
    is_failing: AtomicBool,
}

/// Makes calls until the control thread ends; each call has a task of its own, so that a watch delays no other.
pub async fn run(context: Arc<Context>, mut calls: mpsc::Receiver<Call>) {
    let caller = Arc::new(Caller {
        store: Store::new(&context.settings.platform),
        context,
        is_failing: AtomicBool::default(),
    });
    while let Some(call) = calls.recv().await {
        let caller = Arc::clone(&caller);
        tokio::spawn(async move {
            let answer = caller.perform(call).await;
            caller.context.enqueue(Input::Answered(answer));
        });
    }
}

impl Caller {
    async fn perform(&self, call: Call) -> Answer {
        self.context.metrics.count(Counter::PlatformCalls);
        match call {
            Call::List => match self.checked(self.store.list("").await) {
                Some(listing) => Answer::Listed {
                    revision: listing.revision,
                    objects: self.read(listing.objects),
                },
                None => Answer::Failed(CallKind::List),
            },
            Call::Watch { after } => {
                let listing = self.store.watch("", after, WATCH_TIME).await;
                match self.checked(listing) {
                    Some(listing) => Answer::Watched {
                        revision: listing.revision,
                        objects: self.read(listing.objects),
                    },
                    None => Answer::Failed(CallKind::Watch),
                }
            }
            Call::Vms => match self.checked(self.store.list_vms().await) {
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
                        self.fail(&error);
                        Answer::Failed(CallKind::Put)
                    }
                }
            }
        }
    }

    fn checked<T>(&self, answer: skylarkflow_store::Result<T>) -> Option<T> {
        match answer {
            Ok(value) => {
                if self.is_failing.swap(false, Ordering::Relaxed) {
                    let text = format_args!("at {}", self.context.settings.platform);
                    self.context.journal.record(&event::PLATFORM_ANSWERS, text);
                }
                Some(value)
            }
            Err(error) => {
                self.fail(&error);
                None
            }
        }
    }

    fn fail(&self, error: &skylarkflow_store::Error) {
        self.is_failing.store(true, Ordering::Relaxed);
        let text = format_args!("{error}");
        self.context
            .drop_datagram(Counter::PlatformFailed, &event::PLATFORM_FAILED, text);
    }

    /// Reads the routes and pools among objects; one that is malformed leaves the version in force.
    fn read(&self, objects: Vec<Object>) -> Vec<Stored> {
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
                        .journal
                        .record_limited(now, &event::OBJECT_MALFORMED, text);
                }
            }
        }
        stored
    }
}
