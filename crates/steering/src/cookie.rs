//! Cookies that name upstreams in 32 bits.
//!
//! Every balancer derives the same cookie from an upstream's identifier, in every version of the product and after any
//! restart, so no message has to agree on them. Two upstreams may hash to one cookie; the one that started first keeps
//! it, since open flows carry it, and the other gets the next value of its own sequence.

use {
    crate::upstream::UpstreamId, skylarkflow_policy::id::Map, xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Names an upstream in the packets of a flow; 0 names none.
pub type Cookie = u32;

/// Values that are tried for an upstream before it goes without a cookie; two upstreams of 35,000 share the first one
/// with a probability of 13 %, and three the first two with less than 1 in a million.
const MAX_ATTEMPTS: u64 = 8;

/// An upstream that needs a cookie.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Start of the upstream in Unix milliseconds; earlier claims win.
    pub started_unix_ms: u64,
    /// Identifier of the upstream.
    pub id: UpstreamId,
}

/// Returns the cookie with the given number of an upstream's sequence; never 0.
pub fn derive(id: UpstreamId, attempt: u64) -> Cookie {
    let hash = xxh3_64_with_seed(&id.to_be_bytes(), attempt);
    let cookie = (hash >> 32) as u32;
    cookie.max(1)
}

/// Assigns a cookie to each claim.
///
/// The result depends on the set of claims and not on their order, so balancers with the same list agree.
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
