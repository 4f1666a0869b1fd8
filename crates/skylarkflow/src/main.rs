//! Command line of the load balancer.

fn main() {}
