//! Threads that read a UDP socket.

use {
    crate::{actions::ScratchBuffers, context::Context, event, metrics::Counter},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread::{self, JoinHandle},
    },
};

/// Handles one datagram.
pub type Handler = fn(&Context, &mut ScratchBuffers, SocketAddr, &[u8]);

/// Starts threads that read a socket of the balancer until it stops.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(
    context: &Arc<Context>,
    name: &str,
    count: usize,
    socket: fn(&Context) -> &UdpSocket,
    handler: Handler,
) -> io::Result<Vec<JoinHandle<()>>> {
    let spawn = |index| {
        let context = Arc::clone(context);
        let thread = thread::Builder::new().name(format!("{name}-{index}"));
        thread.spawn(move || receive_datagrams(&context, socket(&context), handler))
    };
    (0..count).map(spawn).collect()
}

fn receive_datagrams(context: &Context, socket: &UdpSocket, handler: Handler) {
    let limit = context.settings.limits.datagram_bytes;
    // One byte more than the limit tells a datagram that is too long from one that fits.
    let mut buffer = vec![0; limit + 1];
    let mut scratch = ScratchBuffers::default();
    while !context.is_stopped() {
        // An error is the end of the wait, or reports an earlier datagram that an upstream's host has rejected.
        let Ok((length, source)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if length > limit {
            let text = format_args!("a datagram of {source} is longer than {limit} bytes");
            context.count_and_log(Counter::Oversized, &event::OVERSIZED, text);
            continue;
        }
        handler(context, &mut scratch, source, &buffer[..length]);
    }
}
