//! Receiver threads of UDP sockets that end when a flag is set.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Upper bound on the length of a UDP datagram, used for receive buffers.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Interval at which a blocked receiver checks its stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that stops receivers; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    flag: Arc<AtomicBool>,
}

impl StopFlag {
    /// Stops all receivers that share the flag.
    pub fn set(&self) {
        self.flag.store(true, Ordering::Relaxed);
    }

    /// Returns whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.flag.load(Ordering::Relaxed)
    }
}

/// Starts a thread that calls `handle` for each received datagram until `stop` is set.
///
/// # Errors
///
/// Fails if the socket cannot be shared with the thread.
pub fn spawn_receiver(
    socket: &UdpSocket,
    stop: &StopFlag,
    mut handle: impl FnMut(&UdpSocket, SocketAddr, &[u8]) + Send + 'static,
) -> io::Result<()> {
    let socket = socket.try_clone()?;
    let stop = stop.clone();
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !stop.is_set() {
            if let Ok((length, source)) = socket.recv_from(&mut buffer) {
                handle(&socket, source, &buffer[..length]);
            }
        }
    });
    Ok(())
}
