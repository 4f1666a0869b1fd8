//! Threads that receive datagrams from the UDP sockets.

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

/// Starts `count` threads that receive datagrams from one socket until the balancer stops.
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
    // The extra byte shows that a datagram is longer than the limit.
    let mut buffer = vec![0; limit + 1];
    let mut scratch = ScratchBuffers::default();
    while !context.is_stopped() {
        // An error is the read timeout, or reports that a VM rejected a datagram sent to it earlier (ICMP).
        let Ok((length, source)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if length > limit {
            let text = format_args!("datagram from {source}: longer than {limit} bytes");
            context.count_and_log(Counter::Oversized, &event::OVERSIZED, text);
            continue;
        }
        handler(context, &mut scratch, source, &buffer[..length]);
    }
}
