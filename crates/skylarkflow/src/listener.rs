//! A TCP listener with a limited number of open connections; further ones wait in the kernel's backlog.

use {
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// A TCP listener with a limited number of open connections.
pub struct LimitedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

/// A connection that holds its permit until it is closed.
pub struct Connection {
    stream: TcpStream,
    _permit: Option<OwnedSemaphorePermit>,
}

impl LimitedListener {
    /// Limits a listener to `connections` open connections.
    pub fn new(listener: TcpListener, connections: usize) -> LimitedListener {
        LimitedListener {
            listener,
            permits: Arc::new(Semaphore::new(connections)),
        }
    }
}

impl Connection {
    fn stream(self: Pin<&mut Connection>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl axum::serve::Listener for LimitedListener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        let (stream, address) = axum::serve::Listener::accept(&mut self.listener).await;
        let connection = Connection {
            stream,
            _permit: permit,
        };
        (connection, address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Connection>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Connection>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Connection>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(
        self: Pin<&mut Connection>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
