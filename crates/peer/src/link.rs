//! Links: WebSocket connections for control messages that are too large for a datagram.
//!
//! Each balancer opens a link to every balancer that it has such messages for, and receives over the links that others
//! open. Both ends give a link up if no frame arrives within a timeout, since a connection can stall without an error.
//! The sender then reconnects and resends the message that it could not send, so a message may arrive twice.

use {
    futures_util::{SinkExt, StreamExt},
    skylarkflow_policy::id::{Map, VmId},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::{self, TcpStream},
        runtime,
        sync::{Semaphore, mpsc},
        time::{self, Instant},
    },
    tokio_tungstenite::{
        WebSocketStream, accept_async_with_config, client_async_with_config,
        tungstenite::{Error, Message, protocol::WebSocketConfig},
    },
};

/// Limits of links.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum length of a message, in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of messages queued for one link.
    pub queue_messages: usize,
    /// Maximum number of links accepted from other balancers at a time.
    pub max_accepted: usize,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a frame after which a link is lost; also limits connecting, the handshake and sending.
    pub timeout: Duration,
    /// Time without a message after which a link is closed.
    pub idle_timeout: Duration,
    /// Time between two attempts to open a link.
    pub backoff: Duration,
}

/// A change of state of a link, or a message received over it.
#[derive(Debug)]
pub enum Event {
    /// A link was opened.
    Opened(SocketAddr),
    /// A link was lost or could not be opened.
    Lost(SocketAddr, String),
    /// A message was received. The address is the remote end of the connection, not the sender's peer socket.
    Received(SocketAddr, Vec<u8>),
}

/// Callback for events. It runs on the runtime's threads, so it must not block.
pub type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// The links of one balancer.
pub struct Links {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
    senders: Mutex<Map<VmId, Sender>>,
}

struct Shared {
    settings: Settings,
    handler: Handler,
}

struct Sender {
    address: SocketAddr,
    queue: mpsc::Sender<Vec<u8>>,
}

type Stream = WebSocketStream<TcpStream>;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_message_bytes: 4 << 20,
            queue_messages: 256,
            max_accepted: 64,
            heartbeat_interval: Duration::from_secs(1),
            timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(60),
            backoff: Duration::from_millis(250),
        }
    }
}

impl Links {
    /// Creates the links of a balancer, whose tasks run on `runtime`.
    pub fn new(runtime: runtime::Handle, settings: Settings, handler: Handler) -> Links {
        Links {
            shared: Arc::new(Shared { settings, handler }),
            runtime,
            senders: Mutex::default(),
        }
    }

    /// Accepts the links of other balancers.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used by the runtime.
    pub fn listen(&self, listener: TcpListener) -> io::Result<()> {
        let _entered = self.runtime.enter();
        listener.set_nonblocking(true)?;
        let listener = net::TcpListener::from_std(listener)?;
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn(shared.accept(listener));
        Ok(())
    }

    /// Queues a message for a balancer; returns false if the message is too long or the queue is full.
    pub fn send(&self, to: VmId, address: SocketAddr, message: Vec<u8>) -> bool {
        if message.len() > self.shared.settings.max_message_bytes {
            return false;
        }
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let is_open = |sender: &Sender| sender.address == address && !sender.queue.is_closed();
        if !senders.get(&to).is_some_and(is_open) {
            senders.insert(to, self.spawn_sender(address));
        }
        let queue = senders.get(&to).map(|sender| &sender.queue);
        queue.is_some_and(|queue| queue.try_send(message).is_ok())
    }

    /// Closes the links to balancers that `keep` rejects and drops the messages queued for them.
    pub fn retain(&self, keep: impl Fn(VmId) -> bool) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.retain(|&to, _| keep(to));
    }

    fn spawn_sender(&self, address: SocketAddr) -> Sender {
        let (queue, messages) = mpsc::channel(self.shared.settings.queue_messages);
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn(shared.run_sender(address, messages));
        Sender { address, queue }
    }
}

impl Shared {
    fn websocket_config(&self) -> WebSocketConfig {
        WebSocketConfig::default()
            .max_message_size(Some(self.settings.max_message_bytes))
            .max_frame_size(Some(self.settings.max_message_bytes))
    }

    async fn accept(self: Arc<Shared>, listener: net::TcpListener) {
        let permits = Arc::new(Semaphore::new(self.settings.max_accepted));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, address)) = listener.accept().await else {
                time::sleep(self.settings.backoff).await;
                continue;
            };
            let shared = Arc::clone(&self);
            tokio::spawn(async move {
                let _permit = permit;
                shared.run_receiver(address, stream).await;
            });
        }
    }

    async fn run_receiver(&self, address: SocketAddr, stream: TcpStream) {
        let handshake = accept_async_with_config(stream, Some(self.websocket_config()));
        let Ok(Ok(mut stream)) = time::timeout(self.settings.timeout, handshake).await else {
            return;
        };
        (self.handler)(Event::Opened(address));
        loop {
            match time::timeout(self.settings.timeout, stream.next()).await {
                Ok(Some(Ok(Message::Binary(bytes)))) => {
                    (self.handler)(Event::Received(address, bytes.into()));
                }
                Ok(Some(Ok(Message::Close(_))) | None) => return,
                Ok(Some(Ok(_))) => {}
                Ok(Some(Err(error))) => return self.report_lost(address, &error.to_string()),
                Err(_) => return self.report_lost(address, "no heartbeat within the timeout"),
            }
        }
    }

    /// Sends queued messages and reconnects after a loss, until the queue is closed or idle.
    async fn run_sender(self: Arc<Shared>, address: SocketAddr, queue: mpsc::Receiver<Vec<u8>>) {
        let mut queue = queue;
        let mut pending = None;
        loop {
            match self.connect(address).await {
                Ok(stream) => {
                    (self.handler)(Event::Opened(address));
                    match self.send_queued(stream, &mut queue, &mut pending).await {
                        Ok(()) => return,
                        Err(reason) => self.report_lost(address, &reason),
                    }
                }
                Err(reason) => self.report_lost(address, &reason),
            }
            time::sleep(self.settings.backoff).await;
            if queue.is_closed() {
                return;
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Stream, String> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/v1/link");
            client_async_with_config(url, stream, Some(self.websocket_config())).await
        };
        let opened: Result<Result<(Stream, _), Error>, _> =
            time::timeout(self.settings.timeout, connect).await;
        match opened {
            Ok(Ok((stream, _))) => Ok(stream),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no connection within the timeout".to_owned()),
        }
    }

    async fn send_queued(
        &self,
        mut stream: Stream,
        queue: &mut mpsc::Receiver<Vec<u8>>,
        pending: &mut Option<Vec<u8>>,
    ) -> Result<(), String> {
        let mut heartbeat = time::interval(self.settings.heartbeat_interval);
        let mut last_received = Instant::now();
        let mut last_sent = Instant::now();
        loop {
            if let Some(message) = pending.as_ref() {
                self.write(&mut stream, Message::binary(message.clone()))
                    .await?;
                *pending = None;
                last_sent = Instant::now();
            }
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => *pending = Some(message),
                    None => return close(stream).await,
                },
                frame = stream.next() => match frame {
                    Some(Ok(_)) => last_received = Instant::now(),
                    Some(Err(error)) => return Err(error.to_string()),
                    None => return Err("closed by the other balancer".to_owned()),
                },
                _ = heartbeat.tick() => {
                    if last_received.elapsed() >= self.settings.timeout {
                        return Err("no heartbeat within the timeout".to_owned());
                    }
                    if last_sent.elapsed() >= self.settings.idle_timeout {
                        queue.close();
                    }
                    self.write(&mut stream, Message::Ping(Vec::new().into())).await?;
                }
            }
        }
    }

    async fn write(&self, stream: &mut Stream, message: Message) -> Result<(), String> {
        match time::timeout(self.settings.timeout, stream.send(message)).await {
            Ok(sent) => sent.map_err(|error| error.to_string()),
            Err(_) => Err("a message could not be sent within the timeout".to_owned()),
        }
    }

    fn report_lost(&self, address: SocketAddr, reason: &str) {
        (self.handler)(Event::Lost(address, reason.to_owned()));
    }
}

async fn close(mut stream: Stream) -> Result<(), String> {
    stream.close(None).await.map_err(|error| error.to_string())
}
