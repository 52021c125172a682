//! Quotas and rate limits that all gateways share: tokens acquired here, and tokens granted to
//! peers by this gateway as an owner.
//!
//! Decisions are made in `ebonyloft_router::quota`; this module exchanges the datagrams between
//! gateways and owners. Client accounts' quotas are charged here too; backend servers' limits are
//! in `limits`.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::ids::Account as AccountName;
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_router::accounts::{Account, Quota};
use ebonyloft_router::limits::{EXCESS as SERVER_EXCESS, Limit};
use ebonyloft_router::load_report::{GossipMessage, LoadReports};
use ebonyloft_router::node::Excess;
use ebonyloft_router::quota::issuer::standby_share;
use ebonyloft_router::quota::ownership::{
    self, ReachabilityReports, UnreachableGateways, gateway_number,
};
use ebonyloft_router::quota::{LeaseDecision, LeaseRequest, LeaseResponse, LimitKey};
use ebonyloft_router::zones::Scope;
use futures_channel::oneshot;
use hyper::Response;

use super::answer::{self, Body, Cause};
use super::intake::Intake;
use super::limits;
use super::shared::{Shared, SnapshotVersion};

/// Longest wait for an owner's answer: about ten times the round trip.
const OWNER_TIMEOUT: Duration = Duration::from_millis(40);
/// Shortest retry-after time, the least that the header can express.
const RETRY_MIN: Duration = Duration::from_millis(10);
/// How often an owner is asked for one request: one datagram in fifty may be lost.
const ATTEMPTS_MAX: usize = 3;
/// How long an owner that did not answer is skipped.
const SILENT_BACKOFF: Duration = Duration::from_millis(1_000);
/// Tokens that expire within this time are returned to the owner: it covers the time until the next
/// upkeep round, and the transfer.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Mean retry-after time if the account's owner does not answer: by then another gateway owns the
/// quota.
const OWNER_LOST_RETRY: Duration = Duration::from_millis(700);

/// Tokens that a request took from its account's quota.
#[derive(Debug)]
pub struct Charge {
    key: LimitKey,
    tokens: u64,
}

impl Charge {
    /// Ends the charge; the tokens of a request that did not run are given back.
    pub fn close(self, shared: &Shared, ran: bool) {
        if !ran {
            shared.token_leases.borrow_mut().restore(shared.now(), &self.key, self.tokens);
        }
    }
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    cause: Cause,
    retry_at: Timestamp,
}

impl Refused {
    /// The caller's answer, which says that the request did not run.
    pub fn response(self, now: Timestamp) -> Response<Body> {
        answer::refusal(self.cause, Verdict::NotRun, Some(self.retry_at.since(now).max(RETRY_MIN)))
    }
}

/// Why no tokens were acquired.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Shortage {
    /// The quota or limit is used up until this time.
    Over(Timestamp),
    /// No gateway that grants it answers.
    Unknown,
}

// The value is written to logs under these names, which stay.
impl fmt::Debug for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shortage::Over(Timestamp(us)) => write!(f, "Over(Moment({us}))"),
            Shortage::Unknown => f.write_str("Unknown"),
        }
    }
}

/// Charges a request's cost to its account's quota, from tokens held here or from the owner.
pub async fn charge(shared: &Shared, intake: &Intake) -> Result<Option<Charge>, Refused> {
    let (Some(account), tokens @ 1..) = (intake.account.clone(), intake.cost) else {
        return Ok(None);
    };
    let key = LimitKey::Account(account);
    match acquire(shared, &key, tokens, None, ATTEMPTS_MAX).await {
        Ok(()) => Ok(Some(Charge { key, tokens })),
        Err(Shortage::Over(retry_at)) => Err(refuse(shared, intake, Cause::OverQuota, retry_at)),
        Err(Shortage::Unknown) => {
            let retry_at =
                shared.now().after(OWNER_LOST_RETRY.mul_f64(0.5 + shared.random_fraction()));
            Err(refuse(shared, intake, Cause::QuotaUnknown, retry_at))
        }
    }
}

/// Acquires `need` tokens, from those held here or from the owner. The owner is asked at most
/// `attempts` times and is told a server's limit.
pub async fn acquire(
    shared: &Shared,
    key: &LimitKey,
    need: u64,
    limit: Option<Limit>,
    attempts: usize,
) -> Result<(), Shortage> {
    if shared.token_leases.borrow_mut().spend(shared.now(), key, need) {
        return Ok(());
    }
    let mut unanswered = 0;
    // Every attempt has the same number, so that an owner whose answer was lost grants nothing
    // more.
    let more = shared.token_leases.borrow().prefetch(key);
    let ask =
        LeaseRequest { number: shared.random_id(), key: key.clone(), need, prefetch: more, limit };
    let asked_at = shared.now();
    for _ in 0..attempts {
        let used_up = shared.token_leases.borrow().exhausted(shared.now(), key);
        if let Some((_, retry_at)) = used_up {
            return Err(Shortage::Over(retry_at));
        }
        match ask_owner(shared, &ask).await {
            Some(LeaseDecision::Lent(tokens)) => {
                let mut leases = shared.token_leases.borrow_mut();
                leases.on_granted(key, asked_at, tokens);
                if leases.spend_granted(shared.now(), key, need) {
                    return Ok(());
                }
            }
            Some(LeaseDecision::Over { room, back }) => {
                let now = shared.now();
                let after_ms = |ms: u32| now.after(Duration::from_millis(ms.into()));
                shared.token_leases.borrow_mut().on_exhausted(key, after_ms(room), after_ms(back));
                return Err(Shortage::Over(after_ms(back)));
            }
            Some(LeaseDecision::Elsewhere) if attempts > 1 => {
                compio::time::sleep(OWNER_TIMEOUT).await
            }
            Some(LeaseDecision::Elsewhere) => {}
            None => unanswered += 1,
        }
    }
    if let Some(owner_name) = owner(shared, key).filter(|_| unanswered == attempts) {
        skip_owner(shared, key, &owner_name);
    }
    Err(Shortage::Unknown)
}

fn refuse(shared: &Shared, intake: &Intake, cause: Cause, retry_at: Timestamp) -> Refused {
    let account = intake.account.as_ref().map(AccountName::as_str);
    let ms = retry_at.since(shared.now()).as_millis() as u64;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(),
        account,
        weight = intake.cost,
        ?cause,
        ms,
        config,
        roster,
        age,
        "request refused"
    );
    let counter = match cause {
        Cause::OverQuota => "gateway.quota.over",
        _ => "gateway.quota.unknown",
    };
    shared.metrics.count(counter, 1);
    Refused { cause, retry_at }
}

/// Sends a request for tokens to the owner, which may be this gateway.
async fn ask_owner(shared: &Shared, ask: &LeaseRequest) -> Option<LeaseDecision> {
    let owner_name = owner(shared, &ask.key)?;
    if owner_name == shared.node().name {
        return Some(grant(shared, ask));
    }
    let addr = shared.fleet.borrow().all().get(&owner_name)?.addr;
    let (sender, reply) = oneshot::channel();
    shared.pending_asks.borrow_mut().insert(ask.number, sender);
    shared.queue_message(addr, GossipMessage::Ask(ask.clone()));
    let reply = compio::time::timeout(OWNER_TIMEOUT, reply).await;
    shared.pending_asks.borrow_mut().remove(&ask.number);
    reply.ok()?.ok()
}

/// Skips an owner that did not answer several times, which lost datagrams alone hardly explain.
fn skip_owner(shared: &Shared, key: &LimitKey, owner_name: &str) {
    tracing::info!(?key, home = owner_name, "owner of a quota or limit does not answer");
    let until = shared.now().after(SILENT_BACKOFF);
    shared.unresponsive_owners.borrow_mut().insert(gateway_number(owner_name), until);
}

/// Answers a peer's request for tokens.
pub fn serve(shared: &Shared, from: SocketAddr, ask: &LeaseRequest) {
    let reply = grant(shared, ask);
    shared.queue_message(from, GossipMessage::Answer(LeaseResponse { number: ask.number, reply }));
}

/// Hands an owner's answer to the request that waits for it.
pub fn on_answer(shared: &Shared, answer: LeaseResponse) {
    if let Some(sender) = shared.pending_asks.borrow_mut().remove(&answer.number) {
        // The waiting request may have ended by now; its tokens expire.
        let _ = sender.send(answer.reply);
    }
}

/// Returns tokens that would expire unused. If the datagram is lost, they are granted to no
/// gateway.
fn return_unused(shared: &Shared, key: &LimitKey, tokens: u64) {
    let Some(owner_name) = owner(shared, key) else {
        return;
    };
    if owner_name == shared.node().name {
        return accept_returned(shared, key, tokens);
    }
    if let Some(gateway) = shared.fleet.borrow().all().get(&owner_name) {
        shared.queue_message(gateway.addr, GossipMessage::Unused(key.clone(), tokens));
    }
}

/// Takes back tokens that a peer did not use.
pub fn accept_returned(shared: &Shared, key: &LimitKey, tokens: u64) {
    if let Some(rate) = rate_of(shared, key, None) {
        let share = granted_share(shared, key, &rate);
        shared.lease_issuer.borrow_mut().return_unused(key, tokens, share);
    }
}

fn grant(shared: &Shared, ask: &LeaseRequest) -> LeaseDecision {
    limits::learn_from_request(shared, &ask.key, ask.limit);
    let Some(rate) = rate_of(shared, &ask.key, ask.limit) else {
        return LeaseDecision::Elsewhere;
    };
    let (now, node) = (shared.now(), shared.node());
    let share = granted_share(shared, &ask.key, &rate);
    let fleet = shared.fleet.borrow();
    let ranked = shared.quota_owners.borrow_mut().ranked(&fleet, &ask.key);
    let is_first = ranked.first() == Some(&node.name);
    if !is_first {
        // The first in rank grants whatever the others report, and often.
        observe_reachability(shared);
    }
    let mut issuer = shared.lease_issuer.borrow_mut();
    issuer.tick(now, fleet.edition());
    let reply = issuer.grant(now, ask, &rate, share, is_first);
    let level = issuer.level(&ask.key).unwrap_or_default();
    let config = shared.snapshot_version().config;
    match reply {
        LeaseDecision::Lent(_) => shared.metrics.count("gateway.quota.lent", 1),
        _ => tracing::info!(
            key = ?ask.key,
            need = ask.need,
            level,
            part = share,
            rate = rate.rate,
            burst = rate.burst,
            ?reply,
            config,
            "tokens not granted"
        ),
    }
    reply
}

/// The rate of a quota or limit; for a server's limit, the stricter of the known and the reported
/// one.
fn rate_of(shared: &Shared, key: &LimitKey, reported: Option<Limit>) -> Option<Rate> {
    match key {
        LimitKey::Account(account) => Some(quota(shared, account)?.bound),
        LimitKey::Server(id) => {
            let known = shared.limits.borrow().of(id);
            Some(known.into_iter().chain(reported).min()?.rate())
        }
    }
}

/// How far a quota or limit may be exceeded.
fn excess(shared: &Shared, key: &LimitKey) -> Excess {
    match key {
        LimitKey::Account(_) => shared.node().bounds.excess,
        LimitKey::Server(_) => SERVER_EXCESS,
    }
}

fn quota(shared: &Shared, account: &AccountName) -> Option<Quota> {
    let config = shared.config()?;
    let account: &Account = config.accounts.as_ref()?.named(account)?;
    account.quota
}

/// The owner to ask, among the gateways that this one receives messages from.
fn owner(shared: &Shared, key: &LimitKey) -> Option<String> {
    let fleet = shared.fleet.borrow();
    let mut excluded = unreachable_gateways(shared);
    let silent = shared.unresponsive_owners.borrow();
    excluded.extend(
        silent.iter().filter(|(_, until)| **until > shared.now()).map(|(number, _)| number),
    );
    shared.quota_owners.borrow_mut().owner(&fleet, key, &excluded)
}

/// The share of a quota or limit that this gateway grants.
fn granted_share(shared: &Shared, key: &LimitKey, rate: &Rate) -> f64 {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    let mut owners = shared.quota_owners.borrow_mut();
    if shared.scope() == Scope::Zone {
        // Gateways of other zones are not observed here: the first in rank grants everything, and
        // its standby the tolerated excess.
        let ranked = owners.ranked(&fleet, key);
        return match ranked.iter().position(|name| *name == node.name) {
            Some(0) => 1.0,
            Some(1) => standby_share(rate, &excess(shared, key)),
            _ => 0.0,
        };
    }
    with_views(shared, |views| owners.share(&fleet, key, &node.name, views))
}

/// Takes note of which gateways each one reports as unreachable: the shares depend on it.
fn observe_reachability(shared: &Shared) {
    let reachability = (shared.scope() == Scope::All).then(|| {
        with_views(shared, |views| ownership::reachability(&shared.fleet.borrow(), views))
    });
    shared.lease_issuer.borrow_mut().observe(shared.now(), reachability);
}

/// Calls `f` with what this gateway knows of which gateways each one can't reach.
fn with_views<T>(shared: &Shared, f: impl FnOnce(&ObservedViews<'_>) -> T) -> T {
    let (own, load_reports) = (unreachable_gateways(shared), shared.load_reports.borrow());
    let name = &shared.node().name;
    f(&ObservedViews { now: shared.now(), name, own: &own, load_reports: &load_reports })
}

/// Gateways that this one receives no messages from.
pub fn unreachable_gateways(shared: &Shared) -> UnreachableGateways {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    match shared.scope() {
        Scope::All => shared.load_reports.borrow().unreachable(shared.now(), &fleet, &node.name),
        Scope::Zone => UnreachableGateways::new(),
    }
}

/// Upkeep: returns unused tokens, and drops quotas and limits that another gateway owns or that are
/// no longer used.
pub fn expire(shared: &Shared) {
    let now = shared.now();
    let unused = shared.token_leases.borrow_mut().take_expiring(now, EXPIRY_MARGIN);
    unused.iter().for_each(|(key, tokens)| return_unused(shared, key, *tokens));
    shared.token_leases.borrow_mut().expire(now);
    observe_reachability(shared);
    shared.lease_issuer.borrow_mut().tick(now, shared.fleet.borrow().edition());
    let is_granted = |key: &LimitKey| {
        rate_of(shared, key, None).is_some_and(|rate| granted_share(shared, key, &rate) > 0.0)
    };
    shared.lease_issuer.borrow_mut().retain(is_granted);
    shared.unresponsive_owners.borrow_mut().retain(|_, until| *until > now);
}

/// Unreachable gateways as reported by each peer, with this gateway's own view.
struct ObservedViews<'a> {
    now: Timestamp,
    name: &'a str,
    own: &'a UnreachableGateways,
    load_reports: &'a LoadReports,
}

impl ReachabilityReports for ObservedViews<'_> {
    fn unreachable(&self, name: &str) -> Option<&UnreachableGateways> {
        if name == self.name {
            return Some(self.own);
        }
        self.load_reports.unreachable_from(self.now, name)
    }
}
