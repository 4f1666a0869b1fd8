//! Applies a plan to the store with conditional writes.
//!
//! Every write carries the edit ID and is conditional on the version that the plan was made from. If the response is
//! lost, the object is read back: its edit ID shows whether the write took effect, so that an edit raises the
//! generation once.

use {
    crate::{
        difference,
        error::{Category, Error, Result},
        plan::{self, Conflict, Generations, Plan, Step, StoredObjects},
        store::Store,
        wire::{POOL_PREFIX, ROUTE_PREFIX},
    },
    log::warn,
    serde_json::Value,
    std::{future::Future, time::Duration},
    tokio::time::{self, Instant},
};

/// Delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Writes plans to a store.
#[derive(Clone, Debug)]
pub struct Writer {
    store: Store,
    deadline: Instant,
}

/// Result of applying a plan.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Generations that were written, by key.
    pub written: Generations,
    /// Keys that were not written.
    pub unwritten: Vec<String>,
    /// The object that another operator changed after the plan was made.
    pub conflict: Option<Conflict>,
    /// The error that stopped the apply.
    pub error: Option<Error>,
}

/// Result of a write whose effect is known.
enum WriteResult {
    Written,
    Conflict(Conflict),
}

impl Writer {
    /// Creates a writer that gives up after `timeout`.
    pub fn new(store: Store, timeout: Duration) -> Writer {
        Writer {
            store,
            deadline: Instant::now() + timeout,
        }
    }

    /// Reads the routes and pools in the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond within the timeout.
    pub async fn read(&self) -> Result<StoredObjects> {
        let pools = self.retry(|| self.store.list(POOL_PREFIX)).await?;
        let routes = self.retry(|| self.store.list(ROUTE_PREFIX)).await?;
        Ok(StoredObjects::new([pools, routes]))
    }

    /// Writes the steps of a plan in order and stops at the first failure. A later run completes the plan.
    pub async fn apply(&self, plan: &Plan, edit: &str) -> Outcome {
        let mut outcome = Outcome::default();
        for step in plan.writes() {
            if outcome.is_incomplete() {
                outcome.unwritten.push(step.key.clone());
                continue;
            }
            match self.write(step, edit).await {
                Ok(WriteResult::Written) => {
                    outcome.written.insert(step.key.clone(), step.generation);
                }
                Ok(WriteResult::Conflict(conflict)) => outcome.conflict = Some(conflict),
                Err(error) => outcome.error = Some(error),
            }
            if outcome.is_incomplete() {
                outcome.unwritten.push(step.key.clone());
            }
        }
        outcome
    }

    async fn write(&self, step: &Step, edit: &str) -> Result<WriteResult> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let result = self.store.put(&step.key, &step.value, step.version).await;
            let error = match result {
                Ok(_) => return Ok(WriteResult::Written),
                Err(error) if error.category() == Category::Refused => return Err(error),
                Err(error) => error,
            };
            if let Some(result) = self.verify_write(step, edit).await? {
                return Ok(result);
            }
            self.back_off(error, &mut backoff).await?;
        }
    }

    /// Reads an object back after a write without a usable response; `None` if the write has had no effect so far.
    async fn verify_write(&self, step: &Step, edit: &str) -> Result<Option<WriteResult>> {
        let object = self.retry(|| self.store.get(&step.key)).await?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let value = object.map_or(Value::Null, |object| object.value);
        if plan::is_written_by(&value, edit) {
            return Ok(Some(WriteResult::Written));
        }
        if version == step.version {
            return Ok(None);
        }
        Ok(Some(WriteResult::Conflict(Conflict {
            key: step.key.clone(),
            generation: plan::generation(&value),
            fields: difference::differing_fields(&step.value, &value),
        })))
    }

    async fn retry<T, F: Future<Output = Result<T>>>(&self, call: impl Fn() -> F) -> Result<T> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match call().await {
                Err(error) if error.category() == Category::Unknown => {
                    self.back_off(error, &mut backoff).await?;
                }
                result => return result,
            }
        }
    }

    /// Waits with jitter before the next attempt, so that operators do not all call at once when the store recovers.
    /// Returns the error if the deadline would pass first.
    async fn back_off(&self, error: Error, backoff: &mut Duration) -> Result<()> {
        let pause = backoff.mul_f64(rand::random_range(0.5..1.0));
        if Instant::now() + pause >= self.deadline {
            return Err(error);
        }
        warn!("{error}; retrying in {} ms", pause.as_millis());
        time::sleep(pause).await;
        *backoff = MAX_BACKOFF.min(*backoff * 2);
        Ok(())
    }
}

impl Outcome {
    /// Returns whether a conflict or an error stopped the apply.
    pub fn is_incomplete(&self) -> bool {
        self.conflict.is_some() || self.error.is_some()
    }
}
