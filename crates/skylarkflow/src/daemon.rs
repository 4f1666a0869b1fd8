//! Starts and stops the threads of a balancer; `skylarkflow-policy` decides what they do.

use {
    crate::{
        admin,
        clock::Clock,
        context::Context,
        control::{self, Input},
        event, ingress,
        metrics::Metrics,
        peers, platform_client,
        receiver::{self, Handler},
        settings::Settings,
        sockets::{self, Addresses, BindError, Listeners, Sockets},
        timer, upstreams,
    },
    crossbeam::channel::{self, Receiver},
    derive_more::{Display, Error, From},
    skylarkflow_operator::wire::Phase,
    skylarkflow_policy::{
        balancer::{self, Core},
        config_reader::Call,
        dispatch::DispatcherFactory,
        id,
        pool::{self, PoolDispatcher},
    },
    std::{
        io,
        net::UdpSocket,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        runtime::{self, Runtime},
        sync::mpsc,
    },
};

/// Threads of the asynchronous runtime, which runs the links, the administration API and the platform client.
const RUNTIME_THREADS: usize = 2;

/// Longest wait for the tasks of the asynchronous runtime to end.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of calls to the platform that wait for their task; further ones fail and are retried later.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Reason why a balancer cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address cannot be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// The operating system failed to create a thread or a socket.
    #[display("cannot start the balancer: {_0}")]
    System(io::Error),
}

/// Starts balancers.
#[derive(Debug)]
pub struct Daemon;

/// A running balancer, which stops at once when the handle is dropped.
pub struct Handle {
    context: Arc<Context>,
    addresses: Addresses,
    threads: Vec<JoinHandle<()>>,
    runtime: Option<Runtime>,
}

impl Daemon {
    /// Starts a balancer on its own threads.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Handle, StartError> {
        let (sockets, listeners) = sockets::bind(&settings)?;
        let addresses = local_addresses(&sockets, &listeners)?;
        let metrics = Arc::new(Metrics::new(&settings.metrics)?);
        let clock = Clock::start();
        let id = id::from_name(&settings.name);
        let incarnation = clock.incarnation();
        let core = Core::with_settings(
            id,
            incarnation,
            core_settings(&settings),
            dispatcher_factory(incarnation),
        );
        let runtime = build_runtime()?;
        let (input_sender, inputs) = channel::bounded(settings.limits.control_queue);
        let links =
            control::create_links(&settings.limits, runtime.handle(), &metrics, &input_sender);
        let context = Context::new(settings, core, sockets, clock, metrics, links, input_sender);
        let context = Arc::new(context);
        let calls = start_tasks(&context, &runtime, listeners)?;
        let threads = start_threads(&context, &addresses, inputs, calls)?;
        log_start(&context, &addresses);
        Ok(Handle {
            context,
            addresses,
            threads,
            runtime: Some(runtime),
        })
    }
}

impl Handle {
    /// Returns the addresses that the balancer has bound.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state shared by the balancer's threads.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns whether the balancer takes new flows.
    pub fn is_ready(&self) -> bool {
        self.context.drain_progress().phase == Phase::Serving
    }

    /// Starts the drain: the balancer hands its flows over, finishes the requests in flight and stops.
    pub fn drain(&self) {
        self.context.start_drain();
    }

    /// Stops the balancer at once; requests in flight are lost.
    pub fn stop(&self) {
        self.context.stop();
    }

    /// Waits until the balancer has stopped.
    pub fn join(mut self) {
        self.wait_until_stopped();
    }

    fn wait_until_stopped(&mut self) {
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.context.stop();
        self.wait_until_stopped();
    }
}

fn local_addresses(sockets: &Sockets, listeners: &Listeners) -> io::Result<Addresses> {
    Ok(Addresses {
        ingress: sockets.ingress.local_addr()?,
        peer: sockets.peer.local_addr()?,
        admin: listeners.admin.local_addr()?,
    })
}

fn core_settings(settings: &Settings) -> balancer::Settings {
    let limits = &settings.limits;
    balancer::Settings {
        flows: limits.flows,
        idle_timeout: limits.flow_idle,
        cache_bytes: limits.cache_bytes,
    }
}

fn dispatcher_factory(seed: u64) -> DispatcherFactory {
    let settings = pool::Settings {
        seed,
        ..pool::Settings::default()
    };
    PoolDispatcher::factory(settings, 1)
}

fn build_runtime() -> io::Result<Runtime> {
    let mut builder = runtime::Builder::new_multi_thread();
    let builder = builder.worker_threads(RUNTIME_THREADS).enable_all();
    builder.thread_name("tasks").build()
}

fn start_tasks(
    context: &Arc<Context>,
    runtime: &Runtime,
    listeners: Listeners,
) -> io::Result<mpsc::Sender<Call>> {
    context.links.listen(listeners.links)?;
    let (call_sender, call_receiver) = mpsc::channel(MAX_QUEUED_CALLS);
    runtime.spawn(platform_client::run(Arc::clone(context), call_receiver));
    admin::start(context, runtime.handle(), listeners.admin)?;
    Ok(call_sender)
}

fn start_threads(
    context: &Arc<Context>,
    addresses: &Addresses,
    inputs: Receiver<Input>,
    calls: mpsc::Sender<Call>,
) -> io::Result<Vec<JoinHandle<()>>> {
    type Source = (&'static str, usize, fn(&Context) -> &UdpSocket, Handler);
    let workers = context.settings.workers;
    let sources: [Source; 3] = [
        (
            "ingress",
            workers.ingress,
            |context| &context.sockets.ingress,
            ingress::handle_datagram,
        ),
        (
            "peer",
            workers.peer,
            |context| &context.sockets.peer,
            peers::handle_datagram,
        ),
        (
            "upstream",
            workers.upstream,
            |context| &context.sockets.upstream,
            upstreams::handle_datagram,
        ),
    ];
    let mut threads = Vec::new();
    for (name, count, socket, handler) in sources {
        threads.extend(receiver::start(context, name, count, socket, handler)?);
    }
    let control = thread::Builder::new().name("control".to_owned());
    let control_context = Arc::clone(context);
    let address = addresses.peer;
    threads.push(control.spawn(move || control::run(&control_context, address, &inputs, calls))?);
    let context = Arc::clone(context);
    let timer = thread::Builder::new().name("timer".to_owned());
    threads.push(timer.spawn(move || timer::run(&context))?);
    Ok(threads)
}

fn log_start(context: &Context, addresses: &Addresses) {
    let Addresses {
        ingress,
        peer,
        admin,
    } = addresses;
    let text = format_args!("ingress {ingress}, peer {peer}, administration {admin}");
    context.event_log.record(&event::STARTED, text);
}
