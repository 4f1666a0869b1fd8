//! UDP sockets that stop with their owner.

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

/// Largest UDP payload, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Time after which a blocked receiver looks whether it is to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tells receivers to stop.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    flag: Arc<AtomicBool>,
}

impl StopFlag {
    /// Tells all receivers to stop.
    pub fn set(&self) {
        self.flag.store(true, Ordering::Relaxed);
    }

    /// Returns whether the receivers are to stop.
    pub fn is_set(&self) -> bool {
        self.flag.load(Ordering::Relaxed)
    }
}

/// Calls `handle` for each datagram, on a thread of its own, until `stop` is set.
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
