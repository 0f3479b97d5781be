//! Order of waiting requests: by rank, then by fair shares of the tenants, then by due time.
//!
//! Rule: within a rank, start-time fair queueing over tenants with weight 1. The next request is that of the waiting
//! tenant with the least start tag, and of its requests the one that is due first. Each request that starts moves its
//! tenant's tag on by one; the rank's virtual time is the tag of the last request started, and a tenant that was idle
//! continues from there, so that it saves up nothing. When the queue is full, the waiting request that is displaced is of
//! the least important rank, there of the tenant with the most waiting requests, and of these the one due last.
//!
//! Requests without a tenant form one group per rank. It may stand for many tenants, so that it is served as much as
//! all waiting tenants of its rank together, and its length counts as divided by their number. Where no request has a
//! tenant, this is the order by due time.
//!
//! Inputs: rank, tenant and due time of each request; until when it may wait.
//!
//! Reason: ordered by due time alone, tenants of a rank are served in proportion to what they ask for, and one at several
//! times its usual load takes the capacity of the others.
//!
//! State: the waiting requests; tags of at most [`MAX_FLOWS`] tenants, the idle ones evicted when a further one comes.
//!
//! Observability: see [`crate::admission`].

use crate::stable_hash::stable_hash;
use bramblewheel_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Tenants (counted once for each rank) whose tags are kept, to bound memory. At the bound, a tenant whose requests would
/// need a further entry is served with the requests without a tenant.
const MAX_FLOWS: usize = 10_000;
/// What one request moves its tenant's tag on by. Divided by the number of waiting tenants for a request without a
/// tenant, so that it must be well above [`MAX_FLOWS`]; 2^44 requests fit into a tag.
const COST: u64 = 1 << 20;

/// Identifies a tenant: a hash of its name. Two tenants with the same hash share one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(u64);

impl TenantKey {
    /// Key of the tenant with this name.
    pub fn new(name: &[u8]) -> Self {
        Self(stable_hash(name.iter().copied()))
    }
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A waiting request's queue position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueuePosition {
    /// Rank; 0 is the most important.
    pub rank: u32,
    /// Tenant with which it is served; `None` for the group of requests without one.
    pub tenant: Option<TenantKey>,
    /// When its answer is due.
    pub due: Timestamp,
    /// Identifies the request.
    pub ticket: Ticket,
}

/// The requests of one tenant in one rank, or of the group without a tenant.
#[derive(Debug, Default)]
struct Flow {
    start_tag: u64,
    /// Until when each request may wait, by due time.
    waiting: BTreeMap<(Timestamp, Ticket), Timestamp>,
}

/// Position of a flow among those that wait: least tag first, then the one whose first request is due first.
type FlowOrder = (u64, (Timestamp, Ticket), Option<TenantKey>);
/// Position of a tenant by its number of waiting requests; of equal ones the one that runs last is the last.
type FlowLength = (usize, u64, (Timestamp, Ticket), TenantKey);

/// The flows of one rank.
#[derive(Debug, Default)]
struct RankOrder {
    /// Start tag of the last request started.
    virtual_time: u64,
    flows: BTreeMap<Option<TenantKey>, Flow>,
    /// Flows with waiting requests, in the order in which they are served.
    order: BTreeSet<FlowOrder>,
    /// Tenants with waiting requests, by their number.
    lengths: BTreeSet<FlowLength>,
}

impl RankOrder {
    /// Changes a flow and its index entries.
    fn update<T>(&mut self, tenant: Option<TenantKey>, change: impl FnOnce(&mut Flow) -> T) -> T {
        let flow = self.flows.entry(tenant).or_default();
        if let Some((first, last)) = ends(flow) {
            self.order.remove(&(flow.start_tag, first, tenant));
            if let Some(key) = tenant {
                let length = flow.waiting.len();
                self.lengths.remove(&(length, flow.start_tag, last, key));
            }
        }
        let result = change(flow);
        if let Some((first, last)) = ends(flow) {
            self.order.insert((flow.start_tag, first, tenant));
            if let Some(key) = tenant {
                let length = flow.waiting.len();
                self.lengths.insert((length, flow.start_tag, last, key));
            }
        }
        result
    }

    /// Number of tenants with waiting requests, at least 1: the weight of the group without a tenant.
    fn group_weight(&self) -> usize {
        self.lengths.len().max(1)
    }

    fn weight(&self, tenant: Option<TenantKey>) -> usize {
        if tenant.is_some() {
            1
        } else {
            self.group_weight()
        }
    }

    /// Number of waiting requests of a flow.
    fn length(&self, tenant: Option<TenantKey>) -> usize {
        self.flows.get(&tenant).map_or(0, |flow| flow.waiting.len())
    }

    /// Counts a request that starts.
    fn charge(&mut self, tenant: Option<TenantKey>) {
        let virtual_time = self.virtual_time;
        let cost = COST / u64::try_from(self.weight(tenant)).unwrap_or(COST);
        let started_at = self.update(tenant, |flow| {
            let start = flow.start_tag.max(virtual_time);
            flow.start_tag = start + cost.max(1);
            start
        });
        self.virtual_time = started_at;
    }

    /// The flow with the most waiting requests for its weight.
    fn longest(&self) -> Option<Option<TenantKey>> {
        let group_length = self.length(None);
        let tenant = self.lengths.last().map(|(length, .., key)| (*length, *key));
        match tenant {
            Some((length, key)) if group_length <= length * self.group_weight() => Some(Some(key)),
            _ => (group_length > 0).then_some(None),
        }
    }

    /// Whether a flow is still no longer than another one, each for its weight, after a request of it has displaced one of
    /// the other. Between two tenants: whether it has at least two waiting requests fewer.
    fn may_displace(&self, arriving: Option<TenantKey>, longest: Option<TenantKey>) -> bool {
        if arriving == longest {
            return false;
        }
        let after = (self.length(arriving) + 1) * self.weight(longest);
        after <= self.length(longest).saturating_sub(1) * self.weight(arriving)
    }
}

/// First and last waiting request of a flow.
fn ends(flow: &Flow) -> Option<((Timestamp, Ticket), (Timestamp, Ticket))> {
    let (first, _) = flow.waiting.first_key_value()?;
    let (last, _) = flow.waiting.last_key_value()?;
    Some((*first, *last))
}

/// Waiting requests in the order in which they start.
#[derive(Debug, Default)]
pub struct FairOrder {
    next_ticket: u64,
    waiting: usize,
    flows: usize,
    ranks: BTreeMap<u32, RankOrder>,
}

impl FairOrder {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Number of tenants whose tags are kept, counted once for each rank.
    pub fn flow_count(&self) -> usize {
        self.flows
    }

    /// Counts a request that starts without having waited.
    pub fn charge(&mut self, rank: u32, tenant: Option<TenantKey>) {
        let tenant = self.keep(rank, tenant);
        self.ranks.entry(rank).or_default().charge(tenant);
    }

    /// Adds a request that may wait until `until`.
    pub fn push(
        &mut self,
        rank: u32,
        tenant: Option<TenantKey>,
        due: Timestamp,
        until: Timestamp,
    ) -> QueuePosition {
        let tenant = self.keep(rank, tenant);
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let order = self.ranks.entry(rank).or_default();
        let virtual_time = order.virtual_time;
        order.update(tenant, |flow| {
            if flow.waiting.is_empty() {
                flow.start_tag = flow.start_tag.max(virtual_time);
            }
            flow.waiting.insert((due, ticket), until);
        });
        self.waiting += 1;
        QueuePosition {
            rank,
            tenant,
            due,
            ticket,
        }
    }

    /// Takes the request that starts next and counts it for its tenant. Requests before it that may not wait any longer
    /// at `now` are removed.
    pub fn start_next(&mut self, now: Timestamp) -> Option<Ticket> {
        loop {
            let (_, order) = self
                .ranks
                .iter_mut()
                .find(|(_, order)| !order.order.is_empty())?;
            let (_, (due, ticket), tenant) = *order.order.first()?;
            let until = order.update(tenant, |flow| flow.waiting.remove(&(due, ticket)));
            self.waiting -= 1;
            if until.is_some_and(|until| until > now) {
                order.charge(tenant);
                return Some(ticket);
            }
        }
    }

    /// The request that one of this rank and tenant may displace: of a less important rank, or in the same rank of a
    /// tenant with at least two more waiting requests.
    pub fn displaceable(&self, rank: u32, tenant: Option<TenantKey>) -> Option<QueuePosition> {
        let mut ranks = self.ranks.iter().rev();
        let (least, order) = ranks.find(|(_, order)| !order.order.is_empty())?;
        let longest = order.longest()?;
        let may_displace = *least > rank || (*least == rank && order.may_displace(tenant, longest));
        if !may_displace {
            return None;
        }
        let (_, (due, ticket)) = ends(order.flows.get(&longest)?)?;
        Some(QueuePosition {
            rank: *least,
            tenant: longest,
            due,
            ticket,
        })
    }

    /// Removes a request; false if it does not wait.
    pub fn remove(&mut self, position: &QueuePosition) -> bool {
        let Some(order) = self.ranks.get_mut(&position.rank) else {
            return false;
        };
        if !order.flows.contains_key(&position.tenant) {
            return false;
        }
        let key = (position.due, position.ticket);
        let removed = order.update(position.tenant, |flow| flow.waiting.remove(&key));
        self.waiting -= usize::from(removed.is_some());
        removed.is_some()
    }

    /// Removes all requests.
    pub fn take_all(&mut self) -> Vec<Ticket> {
        let ranks = std::mem::take(&mut self.ranks);
        self.waiting = 0;
        self.flows = 0;
        let flows = ranks.into_values().flat_map(|order| order.flows);
        let requests = flows.flat_map(|(_, flow)| flow.waiting.into_keys());
        requests.map(|(_, ticket)| ticket).collect()
    }

    /// Ensures that there is an entry for a tenant; returns the tenant with which its request is served.
    fn keep(&mut self, rank: u32, tenant: Option<TenantKey>) -> Option<TenantKey> {
        let has_entry = |tenant| {
            let order = self.ranks.get(&rank);
            order.is_some_and(|order| order.flows.contains_key(&tenant))
        };
        if has_entry(tenant) {
            return tenant;
        }
        if self.flows >= MAX_FLOWS {
            self.evict_idle();
        }
        let tenant = tenant.filter(|_| self.flows < MAX_FLOWS);
        let flows = &mut self.ranks.entry(rank).or_default().flows;
        let before = flows.len();
        flows.entry(tenant).or_default();
        self.flows += flows.len() - before;
        tenant
    }

    /// Removes the entries of all tenants without waiting requests. They lose at most what they were served ahead of the
    /// virtual time.
    fn evict_idle(&mut self) {
        for order in self.ranks.values_mut() {
            order.flows.retain(|_, flow| !flow.waiting.is_empty());
        }
        self.ranks.retain(|_, order| !order.flows.is_empty());
        self.flows = self.ranks.values().map(|order| order.flows.len()).sum();
    }
}
