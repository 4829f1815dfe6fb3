//! Queue of one rank: weighted start-time fair queueing over tokens, with one flow for each caller.
//!
//! The calls of a caller within its fair share are always served in order of arrival. Those of a
//! caller above its share are served in order until the oldest has waited longer than the latency
//! target; from then on the newest call is served first. Under overload some calls then still meet
//! the target, whereas strict order of arrival would make all of them miss it.

use {
    crate::policy::AdmissionRequest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    turmerictack_model::ids::{CallId, CallerId, Tokens},
};

/// Virtual time of the scheduler: tokens per unit of weight, times [`UNITS_PER_TOKEN`].
type VirtualTime = u64;

/// Resolution of virtual time, so that costs divided by large weights still differ.
const UNITS_PER_TOKEN: u64 = 1 << 10;

/// Largest unused share, in tokens per unit of weight, that puts a caller ahead of all others.
const MAX_SHORT_TERM_CREDIT: VirtualTime = 8192 * UNITS_PER_TOKEN;

/// Largest unused share, in tokens per unit of weight, that puts a caller ahead of only those
/// callers that are above their share.
const MAX_LONG_TERM_CREDIT: VirtualTime = 16_384 * UNITS_PER_TOKEN;

/// Number of accounts above which those that have all of their long-term credit are dropped; a new
/// account would start in the same state.
const ACCOUNT_PRUNE_THRESHOLD: usize = 16_384;

/// Service that a caller has received, as two start tags with different bounds on its credit.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Start tag of the next call, at most [`MAX_SHORT_TERM_CREDIT`] behind the virtual time.
    short_term_tag: VirtualTime,
    /// The same, at most [`MAX_LONG_TERM_CREDIT`] behind the virtual time.
    long_term_tag: VirtualTime,
}

impl Account {
    fn charge(&mut self, amount: VirtualTime) {
        self.short_term_tag += amount;
        self.long_term_tag += amount;
    }

    fn refund(&mut self, amount: VirtualTime) {
        self.short_term_tag = self.short_term_tag.saturating_sub(amount);
        self.long_term_tag = self.long_term_tag.saturating_sub(amount);
    }
}

/// Queued calls of one rank, ordered by start tag.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<(VirtualTime, CallId), AdmissionRequest>,
    tags: BTreeMap<CallId, VirtualTime>,
    by_caller: BTreeMap<CallerId, BTreeSet<CallId>>,
    accounts: BTreeMap<CallerId, Account>,
    virtual_time: VirtualTime,
}

impl FairQueue {
    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Start tag of a new call on an account.
    ///
    /// A caller that recently used less than its share starts ahead by the unused part, up to
    /// [`MAX_SHORT_TERM_CREDIT`], so that a burst of a small caller does not wait behind the
    /// backlog of a large one. Credit from further back, up to [`MAX_LONG_TERM_CREDIT`], puts the
    /// call just ahead of those of callers above their share, but not ahead of the others.
    fn start_tag(&self, account: Account) -> VirtualTime {
        let is_below_share = account.long_term_tag < self.virtual_time;
        if is_below_share {
            account.short_term_tag.min(self.virtual_time.saturating_sub(1))
        } else {
            account.short_term_tag
        }
    }

    /// Account of a caller with its credits bounded at the current virtual time.
    fn account(&self, caller: &str) -> Account {
        let recorded = self
            .accounts
            .get(caller)
            .copied()
            .unwrap_or(Account { short_term_tag: 0, long_term_tag: 0 });
        Account {
            short_term_tag: recorded
                .short_term_tag
                .max(self.virtual_time.saturating_sub(MAX_SHORT_TERM_CREDIT)),
            long_term_tag: recorded
                .long_term_tag
                .max(self.virtual_time.saturating_sub(MAX_LONG_TERM_CREDIT)),
        }
    }

    /// Number of queued calls that would be served before a new call of this caller.
    pub fn calls_before(&self, caller: &str) -> usize {
        let tag = self.start_tag(self.account(caller));
        self.waiting.range(..=(tag, CallId::MAX)).count()
    }

    /// Adds a call after the earlier calls of its caller, and charges its estimated cost.
    pub fn push(&mut self, request: AdmissionRequest) {
        let mut account = self.account(&request.caller);
        let tag = self.start_tag(account);
        account.short_term_tag = tag;
        account.charge(virtual_cost(request.cost, request.weight));
        self.accounts.insert(request.caller.clone(), account);
        self.insert(tag, request);
        if self.accounts.len() > ACCOUNT_PRUNE_THRESHOLD {
            let floor = self.virtual_time.saturating_sub(MAX_LONG_TERM_CREDIT);
            self.accounts.retain(|_, account| account.long_term_tag > floor);
        }
    }

    /// Returns a call to the queue at the current virtual time, without charging it again.
    pub fn push_front(&mut self, request: AdmissionRequest) {
        self.insert(self.virtual_time, request);
    }

    fn insert(&mut self, tag: VirtualTime, request: AdmissionRequest) {
        self.tags.insert(request.call, tag);
        self.by_caller.entry(request.caller.clone()).or_default().insert(request.call);
        self.waiting.insert((tag, request.call), request);
    }

    /// Takes the call with the smallest start tag, or in its place the newest call of the same
    /// caller if that caller is above its share and the first call has missed its target wait.
    pub fn pop(&mut self, now: Instant) -> Option<AdmissionRequest> {
        let ((tag, call), request) = self.waiting.pop_first()?;
        let within_share = tag < self.virtual_time;
        self.virtual_time = self.virtual_time.max(tag);
        self.unindex(call, &request.caller);
        let newest = self.by_caller.get(&request.caller).and_then(|calls| calls.last()).copied();
        match newest {
            Some(newest) if !within_share && now > request.arrived_at + request.target_wait => {
                self.replace_with_newest(newest, request)
            }
            _ => Some(request),
        }
    }

    /// Takes the newest call of the same caller, and queues the earlier one under its start tag.
    fn replace_with_newest(
        &mut self,
        newest: CallId,
        earlier: AdmissionRequest,
    ) -> Option<AdmissionRequest> {
        let tag = *self.tags.get(&newest)?;
        let request = self.waiting.remove(&(tag, newest))?;
        self.unindex(newest, &request.caller);
        self.insert(tag, earlier);
        Some(request)
    }

    fn unindex(&mut self, call: CallId, caller: &str) {
        self.tags.remove(&call);
        if let Some(calls) = self.by_caller.get_mut(caller) {
            calls.remove(&call);
            if calls.is_empty() {
                self.by_caller.remove(caller);
            }
        }
    }

    /// Removes the call with the largest start tag if a new call of this caller would be served
    /// before it, and refunds its charge.
    pub fn evict_last_after(&mut self, caller: &str) -> Option<AdmissionRequest> {
        let last = self.waiting.last_key_value()?.0.0;
        if last <= self.start_tag(self.account(caller)) {
            return None;
        }
        let ((_, call), request) = self.waiting.pop_last()?;
        self.unindex(call, &request.caller);
        self.refund(&request);
        Some(request)
    }

    /// Removes a queued call and refunds its charge.
    pub fn remove(&mut self, call: CallId) -> Option<AdmissionRequest> {
        let tag = *self.tags.get(&call)?;
        let request = self.waiting.remove(&(tag, call))?;
        self.unindex(call, &request.caller);
        self.refund(&request);
        Some(request)
    }

    /// Replaces the estimated cost of a call by the number of tokens that it used.
    pub fn settle(&mut self, request: &AdmissionRequest, used: Tokens) {
        if let Some(account) = self.accounts.get_mut(&request.caller) {
            account.refund(virtual_cost(request.cost, request.weight));
            account.charge(virtual_cost(used, request.weight));
        }
    }

    fn refund(&mut self, request: &AdmissionRequest) {
        if let Some(account) = self.accounts.get_mut(&request.caller) {
            account.refund(virtual_cost(request.cost, request.weight));
        }
    }
}

/// Cost of a call in virtual time; at least one token.
fn virtual_cost(cost: Tokens, weight: u32) -> VirtualTime {
    cost.max(1).saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
