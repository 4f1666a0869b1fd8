//! Admission of new flows to each pool of one balancer.
//!
//! It is designed for pools that run out of capacity independently of each other: each has a controller of its own.

use {
    crate::{
        admission::{Controller, Counts, Outcome, Settings},
        refusal::{self, Detector},
        table::Table,
        tracker::Response,
        upstream::PoolName,
    },
    rand::rngs::SmallRng,
    skylarkflow_policy::id::Map,
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// The controllers of all pools.
#[derive(Debug)]
pub struct PoolAdmission {
    /// Settings of each controller; `None` admits everything.
    settings: Option<Settings>,
    detector: Detector,
    controllers: Map<PoolName, Controller>,
}

/// Admission to all pools since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Numbers since the last report.
    pub counts: Counts,
    /// Shares of the openings that are admitted, of the least urgent priority of a pool and of the next one; the lowest
    /// over all pools.
    pub lowest_shares: [f64; 2],
}

impl Default for Summary {
    fn default() -> Summary {
        Summary {
            counts: Counts::default(),
            lowest_shares: [1.0; 2],
        }
    }
}

impl PoolAdmission {
    /// Creates the admission of a balancer that has seen no response.
    pub fn new(settings: Option<Settings>) -> PoolAdmission {
        PoolAdmission {
            settings,
            detector: Detector::new(refusal::Settings::default()),
            controllers: Map::default(),
        }
    }

    /// Decides about an opening packet; `false` if the flow is to be reset.
    pub fn admit(
        &mut self,
        now: Duration,
        pool: &PoolName,
        priority: u32,
        caller: IpAddr,
        rng: &mut SmallRng,
    ) -> bool {
        let Some(settings) = self.settings else {
            return true;
        };
        if let Some(controller) = self.controllers.get_mut(pool) {
            return controller.admit(now, priority, caller, rng);
        }
        let controller = self.controllers.entry(pool.clone());
        let controller = controller.or_insert_with(|| Controller::new(settings));
        controller.admit(now, priority, caller, rng)
    }

    /// Records a request on an open flow to an upstream of `pool`.
    pub fn record_continued(
        &mut self,
        now: Duration,
        table: &Table,
        pool: &PoolName,
        service: &SocketAddr,
    ) {
        if let Some(controller) = self.controllers.get_mut(pool)
            && let Some(route) = table.routes.get(service)
        {
            controller.record_continued(now, route.level.priority);
        }
    }

    /// Records a response of an upstream of `pool`.
    pub fn observe(&mut self, now: Duration, table: &Table, pool: &PoolName, response: &Response) {
        let Some(settings) = self.settings else {
            return;
        };
        let Some(route) = table.routes.get(&response.service) else {
            return;
        };
        let is_refusal = self.detector.is_refusal(response);
        let outcome = Outcome::new(response, &route.level, is_refusal);
        if !self.controllers.contains_key(pool) {
            self.controllers
                .insert(pool.clone(), Controller::new(settings));
        }
        if let Some(controller) = self.controllers.get_mut(pool) {
            controller.observe(now, outcome);
        }
    }

    /// Updates all pools, removes those that the table no longer has, and returns the pools whose openings are limited
    /// from now on, or no longer.
    pub fn tick(&mut self, now: Duration, table: Option<&Table>) -> Vec<(PoolName, bool)> {
        let mut changes = Vec::new();
        for (pool, controller) in &mut self.controllers {
            controller.tick(now);
            let change = controller.take_change();
            changes.extend(change.map(|is_limiting| (pool.clone(), is_limiting)));
        }
        if let Some(table) = table {
            self.detector
                .retain(|service| table.routes.contains_key(service));
            self.controllers.retain(|pool, controller| {
                controller.is_limiting() || table.pool_names.contains(pool)
            });
        }
        changes
    }

    /// Returns the summary and clears the counts.
    pub fn take_summary(&mut self, now: Duration) -> Summary {
        let mut summary = Summary::default();
        for controller in self.controllers.values_mut() {
            summary.counts.add(&controller.take_counts());
            let lowest = summary.lowest_shares.iter_mut();
            for (share, (_, pool_share)) in lowest.zip(controller.shares(now)) {
                *share = share.min(pool_share);
            }
        }
        summary
    }
}
