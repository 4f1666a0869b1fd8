//! 32-bit cookies that identify upstreams.
//!
//! Every balancer derives the same cookie from an upstream's identifier, in every version of the product and after any
//! restart, so balancers need not exchange cookies. Two upstreams may hash to the same cookie; the one that started
//! first keeps it, since its open flows carry it, and the other one uses the next cookie that is derived from its
//! identifier.

use {
    crate::upstream::UpstreamId, skylarkflow_policy::id::Map, xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Identifies an upstream in the packets of a flow; 0 stands for none.
pub type Cookie = u32;

/// Number of cookies that are tried for an upstream before it is left without one. Among 35,000 upstreams, two share
/// the first cookie with a probability of 13 %, and three share the first two with a probability below 1 in a million.
const MAX_ATTEMPTS: u64 = 8;

/// An upstream that needs a cookie and an address; claims are ordered by the start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Start of the upstream in Unix milliseconds; on a collision the earlier one keeps the cookie, while the later one
    /// holds the address.
    pub started_unix_ms: u64,
    /// Identifier of the upstream.
    pub id: UpstreamId,
}

/// Derives the cookie for an attempt, counted from 0, from an upstream's identifier; never 0.
pub fn derive(id: UpstreamId, attempt: u64) -> Cookie {
    let hash = xxh3_64_with_seed(&id.to_be_bytes(), attempt);
    let cookie = (hash >> 32) as u32;
    cookie.max(1)
}

/// Assigns a cookie to each claim, except where all cookies that are tried belong to earlier claims.
///
/// The result depends on the set of claims and not on their order, so balancers with the same set agree.
pub fn assign(claims: &[Claim]) -> Map<UpstreamId, Cookie> {
    let mut claims = claims.to_vec();
    claims.sort_unstable();
    let mut taken: Map<Cookie, UpstreamId> = Map::default();
    let mut assigned = Map::default();
    for claim in claims {
        let free = (0..MAX_ATTEMPTS)
            .map(|attempt| derive(claim.id, attempt))
            .find(|cookie| !taken.contains_key(cookie));
        if let Some(cookie) = free {
            taken.insert(cookie, claim.id);
            assigned.insert(claim.id, cookie);
        }
    }
    assigned
}
