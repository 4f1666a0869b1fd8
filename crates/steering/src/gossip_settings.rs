//! Settings of the gossip between balancers.

use {crate::fetches, std::time::Duration};

/// Settings of a [`Gossip`](crate::gossip::Gossip).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Interval between reports while there is no news.
    pub report_interval: Duration,
    /// Minimum interval between reports while there is news.
    pub min_report_interval: Duration,
    /// Maximum number of balancers of the own zone that get a report. They are at distances 1, 2, 4 and so on in a ring
    /// ordered by name, so that news reaches all in a logarithmic number of hops and each gets as many reports as it
    /// sends.
    pub fanout: usize,
    /// Number of balancers of each other zone to which a reader sends a report, different ones each time.
    pub remote_fanout: usize,
    /// Number of readers in each zone.
    pub readers: usize,
    /// Number of balancers of each zone, in the order of names, that watch a replica of the store although their zone
    /// has a reader, so that a change does not wait for the next reader when one ends.
    pub watchers: usize,
    /// Time for which the calls of a reader may fail before it gives up its role; longer than the retry of a failed watch
    /// takes to show that the store is reachable again.
    pub reader_failure_timeout: Duration,
    /// Time without a reader after which a follower watches the store itself; longer than a takeover usually needs.
    pub follower_patience: Duration,
    /// Age of the last heartbeat at which a reader is considered dead, and of the last report from which tables are
    /// fetched.
    pub heartbeat_timeout: Duration,
    /// Age of the last report at which a balancer that is not registered is removed, and at which heartbeats are.
    pub member_timeout: Duration,
    /// Time for which reports contain an upstream that has ended.
    pub ended_report_time: Duration,
    /// Time for which a peer may have newer tables before they are fetched, as the response of the store is usually
    /// on its way; longer than the pause between two watches.
    pub fetch_delay: Duration,
    /// Time from the start to the first election, in which balancers that start together discover each other.
    pub first_election_delay: Duration,
    /// Delay before a balancer takes over from a missing reader, for each balancer of its zone with a lower name.
    pub takeover_delay: Duration,
    /// Number of balancers of each zone, in the order of names, that list the store at their start without waiting for
    /// the tables of a peer; two, so that the loss of one causes no delay.
    pub initial_listers: usize,
    /// Fetches of the tables of peers.
    pub fetches: fetches::Settings,
    /// Minimum time between two requests to read the store because no peer supplies its newer tables.
    pub min_store_read_interval: Duration,
    /// Whether this balancer follows the evacuations of zones.
    pub follows_evacuations: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            report_interval: Duration::from_millis(500),
            min_report_interval: Duration::from_millis(100),
            fanout: 10,
            remote_fanout: 1,
            readers: 1,
            watchers: 4,
            reader_failure_timeout: Duration::from_secs(4),
            follower_patience: Duration::from_secs(1),
            heartbeat_timeout: Duration::from_secs(3),
            member_timeout: Duration::from_secs(60),
            ended_report_time: Duration::from_secs(2),
            fetch_delay: Duration::from_millis(600),
            first_election_delay: Duration::from_secs(4),
            takeover_delay: Duration::from_millis(100),
            initial_listers: 2,
            fetches: fetches::Settings::default(),
            min_store_read_interval: Duration::from_secs(3),
            follows_evacuations: false,
        }
    }
}
