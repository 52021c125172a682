//! HTTP for operators.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use ebonyloft_core::config::check;
use ebonyloft_core::config::diff::{self, Change};
use ebonyloft_core::config::parts::{self, AuditRecord, Manifest, VALUE_LIMIT};
use ebonyloft_core::config::{Document, Labels, Rate, Right};
use ebonyloft_core::ids::{Digest, MemberId};
use ebonyloft_core::limits::Bucket;
use ebonyloft_core::members::Card;
use ebonyloft_core::message::Control;
use ebonyloft_core::orders::{Action, ORDER_LEASE, Order, OrderResult, Permits};
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::{Event, InForce};
use crate::clock::Clock;
use crate::control::{ControlMessage, ControlSender, MANIFEST_KEY, PART_PREFIX, Status};
use crate::http::{self, Body, Problem};
use crate::link::{self, Identity};
use crate::settings::EntrySettings;
use crate::sidecar::{FENCE_PREFIX, FenceRow};
use crate::store::{Store, StoreError, Stored};

/// Largest body of an operator's request: a whole document.
const BODY_LIMIT: usize = 16 << 20;
/// Key of the loads from the weight store.
const PERMIT_KEY: &str = "ebonyloft/weights/permits";
/// Rows listed a member.
const ROW_LIMIT: u32 = 200;
/// Requests of one operator a second.
const RATE: Rate = Rate { rate: 50.0, burst: 100.0 };

/// The ways an administration handler has.
pub struct Ways {
    /// Names and key.
    pub identity: Rc<Identity>,
    /// The platform.
    pub store: Rc<dyn Store>,
    /// The control task.
    pub control: ControlSender,
    /// The desk.
    pub events: UnboundedSender<Event>,
    /// What is in force.
    pub in_force: Rc<RefCell<InForce>>,
    /// The process's clock.
    pub clock: Clock,
}

/// Body of a change.
#[derive(Debug, Deserialize, Serialize)]
pub struct ApplyForm {
    /// Revision that the operator saw; zero for the first.
    pub from: u64,
    /// The operator's own id of this change.
    pub change: String,
    /// What it is for.
    #[serde(default)]
    pub why: String,
    /// The whole document, as JSON text.
    pub document: serde_json::Value,
}

/// Answer to a change.
#[derive(Debug, Deserialize, Serialize)]
pub struct Applied {
    /// Revision in which it was accepted.
    pub revision: u64,
    /// What changed.
    pub changes: usize,
}

/// Body of an order.
#[derive(Debug, Deserialize, Serialize)]
pub struct OrderForm {
    /// What to do.
    pub action: Action,
}

/// Handles operators' requests.
#[derive(Clone)]
pub struct Admin {
    ways: Rc<Ways>,
    first_token: Option<Digest>,
    buckets: Rc<RefCell<BTreeMap<String, Bucket>>>,
}

type Answered = Result<Response<Body>, Problem>;

impl Admin {
    /// A handler.
    pub fn new(settings: &EntrySettings, ways: Ways) -> Self {
        let first_token = settings.first_token.as_ref().map(|t| Digest::of(t.as_bytes()));
        Admin { ways: Rc::new(ways), first_token, buckets: Rc::default() }
    }

    /// Answers one request.
    pub async fn handle(self, req: Request<Incoming>) -> Response<Body> {
        self.dispatch(req).await.unwrap_or_else(|p| p.response())
    }

    async fn dispatch(&self, req: Request<Incoming>) -> Answered {
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), segments.as_slice()) {
            (Method::GET, ["admin", "config"]) => {
                self.allow(&req, Right::Read)?;
                self.show().await
            }
            (Method::POST, ["admin", "config"]) => {
                let who = self.allow(&req, Right::Write)?;
                self.apply(req, who).await
            }
            (Method::POST, ["admin", "config", "check"]) => {
                self.allow(&req, Right::Read)?;
                self.check(req).await
            }
            (Method::GET, ["admin", "history"]) => {
                self.allow(&req, Right::Read)?;
                Ok(http::json(StatusCode::OK, &self.status().await?.audit))
            }
            (Method::GET, ["admin", "status"]) => {
                self.allow(&req, Right::Read)?;
                Ok(http::json(StatusCode::OK, &self.status().await?))
            }
            (Method::GET, ["admin", "lag"]) => {
                self.allow(&req, Right::Read)?;
                self.lag().await
            }
            (Method::GET, ["admin", "explain"]) => {
                self.allow(&req, Right::Read)?;
                self.explain(req.uri().query().unwrap_or_default()).await
            }
            (Method::GET, ["admin", "pools"]) => {
                self.allow(&req, Right::Read)?;
                self.pools().await
            }
            (Method::GET, ["admin", "requests"]) => {
                self.allow(&req, Right::Read)?;
                self.requests().await
            }
            (Method::POST, ["admin", "members", name, "drain"]) => {
                let who = self.allow(&req, Right::Order)?;
                self.drain(name, &who).await
            }
            (Method::POST, ["admin", "members", name, "orders"]) => {
                let who = self.allow(&req, Right::Order)?;
                let name = (*name).to_owned();
                self.order(req, &name, who).await
            }
            _ => Err(Problem::new(StatusCode::NOT_FOUND, "path", format!("nothing is at {path}"))),
        }
    }

    /// Who asks, if the right is held.
    fn allow(&self, req: &Request<Incoming>, right: Right) -> Result<String, Problem> {
        let denied = || {
            Problem::new(
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "authorization: a valid operator token is needed",
            )
        };
        let text = req.headers().get("authorization").and_then(|v| v.to_str().ok());
        let token = text.and_then(|t| t.strip_prefix("Bearer ")).ok_or_else(denied)?;
        let digest = Digest::of(token.as_bytes());
        let f = self.ways.in_force.borrow();
        let same = |d: &Digest| bool::from(d.0.ct_eq(&digest.0));
        if f.revision == 0 && self.first_token.as_ref().is_some_and(same) {
            return Ok("first".to_owned());
        }
        let found = f.doc.operators.iter().find(|(_, rule)| same(&rule.token));
        let (name, rule) = found.ok_or_else(denied)?;
        if !rule.rights.contains(&right) {
            let detail =
                format!("operator `{name}` does not have the right to {right:?}").to_lowercase();
            return Err(Problem::new(StatusCode::FORBIDDEN, "forbidden", detail));
        }
        let now = self.ways.clock.now();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(name.clone()).or_insert_with(|| Bucket::full(now, &RATE));
        bucket.take(now, &RATE).map_err(|_| {
            let mut p = Problem::new(StatusCode::TOO_MANY_REQUESTS, "rate", "too many requests");
            p.retry_after = Some(1);
            p
        })?;
        Ok(name.clone())
    }

    async fn status(&self) -> Result<Status, Problem> {
        let (reply, answer) = oneshot::channel();
        let _ = self.ways.control.unbounded_send(ControlMessage::Status(reply));
        answer.await.map_err(|_| unavailable("the process is stopping"))
    }

    async fn show(&self) -> Answered {
        let (revision, doc) = {
            let f = self.ways.in_force.borrow();
            (f.revision, f.doc.clone())
        };
        Ok(http::json(
            StatusCode::OK,
            &serde_json::json!({ "revision": revision, "document": &*doc }),
        ))
    }

    async fn check(&self, req: Request<Incoming>) -> Answered {
        let body = read(req).await?;
        let text = String::from_utf8(body.to_vec()).map_err(|_| bad("the body is not UTF-8"))?;
        match check::parse(&text) {
            Err(faults) => Ok(http::json(StatusCode::UNPROCESSABLE_ENTITY, &faults)),
            Ok(doc) => {
                let changes = diff::diff(&self.ways.in_force.borrow().doc, &doc);
                Ok(http::json(StatusCode::OK, &changes))
            }
        }
    }

    async fn apply(&self, req: Request<Incoming>, who: String) -> Answered {
        let body = read(req).await?;
        let form: ApplyForm = serde_json::from_slice(&body).map_err(|e| bad(&e.to_string()))?;
        if form.change.is_empty() || form.change.len() > 128 {
            return Err(bad("change: must have 1 to 128 characters"));
        }
        let doc = match check::parse(&form.document.to_string()) {
            Ok(doc) => doc,
            Err(faults) => return Ok(http::json(StatusCode::UNPROCESSABLE_ENTITY, &faults)),
        };
        let (stored, current) = self.stored_manifest().await?;
        if let Some(record) = current.accepted(&form.change) {
            return Ok(accepted(record.to, 0));
        }
        if current.revision != form.from {
            return self.raced(&current, &doc).await;
        }
        let changes = diff::diff(&self.ways.in_force.borrow().doc, &doc);
        let split = parts::split(&doc);
        if split.iter().any(|p| p.body.len() > VALUE_LIMIT) {
            return Err(bad("a part of the document is over 1 MB: fewer routes, pools or labels"));
        }
        for part in split.iter().filter(|p| !current.parts.contains(&p.digest)) {
            self.store_part(part).await?;
        }
        let record = AuditRecord {
            from: 0,
            to: 0,
            who: who.clone(),
            what: summary(&changes, &form.why),
            at: self.ways.clock.now(),
            change: form.change.clone(),
        };
        let next = current.next(split.iter().map(|p| p.digest).collect(), record);
        self.swap_manifest(stored.index, &next, &form.change, &doc).await.map(|revision| {
            tracing::info!(%who, from = current.revision, to = revision, changes = changes.len(), "configuration accepted");
            let read = Box::new((next.clone(), split));
            let _ = self.ways.control.unbounded_send(ControlMessage::Manifest(read));
            accepted(revision, changes.len())
        })
    }

    /// Parts are addressed by digest: one that is stored already is the same.
    async fn store_part(&self, part: &parts::Part) -> Result<(), Problem> {
        let key = format!("{PART_PREFIX}{}", part.digest);
        let wrote = self.ways.store.swap(&key, Bytes::from(part.body.clone()), 0).await;
        match wrote {
            Ok(_) => Ok(()),
            Err(e) => match self.ways.store.read(&key).await {
                Ok(Stored { value: Some(_), .. }) => Ok(()),
                _ => Err(not_accepted(&e)),
            },
        }
    }

    /// Swaps the manifest; a lost answer is resolved by reading, never by writing again.
    async fn swap_manifest(
        &self,
        index: u64,
        next: &Manifest,
        change: &str,
        doc: &Document,
    ) -> Result<u64, Problem> {
        let body = serde_json::to_vec(next).map_err(|e| bad(&e.to_string()))?;
        match self.ways.store.swap(MANIFEST_KEY, body.into(), index).await {
            Ok(true) => Ok(next.revision),
            Ok(false) => {
                let (_, current) = self.stored_manifest().await?;
                match current.accepted(change) {
                    Some(record) => Ok(record.to),
                    None => Err(self.raced_problem(&current, doc).await),
                }
            }
            Err(StoreError::Refused { status }) => Err(unavailable(&format!(
                "the platform's service refused with {status}; nothing was changed"
            ))),
            Err(_) => self.resolve(change, index).await,
        }
    }

    /// After a lost answer only reading is left. The write is known to have failed when the index
    /// has moved on without it; until then it may still take effect.
    async fn resolve(&self, change: &str, index: u64) -> Result<u64, Problem> {
        for _ in 0..RESOLVE_TRIES {
            if let Ok((stored, current)) = self.stored_manifest().await {
                if let Some(record) = current.accepted(change) {
                    return Ok(record.to);
                }
                if stored.index != index {
                    return Err(unavailable("another change came first; nothing was changed"));
                }
            }
            compio::time::sleep(RESOLVE_PAUSE).await;
        }
        let detail = format!(
            "not known whether change `{change}` was accepted; look for it in the history, \
             or send it again with the same id"
        );
        Err(Problem::new(StatusCode::BAD_GATEWAY, "unknown", detail))
    }

    async fn stored_manifest(&self) -> Result<(Stored, Manifest), Problem> {
        let stored = self.ways.store.read(MANIFEST_KEY).await.map_err(|e| not_accepted(&e))?;
        let manifest = match &stored.value {
            None => Manifest::default(),
            Some(value) => serde_json::from_slice(value)
                .map_err(|_| unavailable("the stored manifest can't be read"))?,
        };
        Ok((stored, manifest))
    }

    async fn raced(&self, current: &Manifest, doc: &Document) -> Answered {
        Err(self.raced_problem(current, doc).await)
    }

    async fn raced_problem(&self, current: &Manifest, doc: &Document) -> Problem {
        let theirs = self.stored_document(current).await;
        let changes = theirs.map(|t| diff::diff(&t, doc)).unwrap_or_default();
        let last = current.audit.last();
        let detail = serde_json::json!({
            "revision": current.revision,
            "by": last.map(|r| r.who.clone()),
            "diff": changes,
        });
        let kind = "raced";
        Problem::new(StatusCode::CONFLICT, kind, detail.to_string())
    }

    async fn stored_document(&self, manifest: &Manifest) -> Option<Document> {
        let mut bodies = Vec::new();
        for digest in &manifest.parts {
            let stored = self.ways.store.read(&format!("{PART_PREFIX}{digest}")).await.ok()?;
            bodies.push(String::from_utf8(stored.value?.to_vec()).ok()?);
        }
        let texts: Vec<&str> = bodies.iter().map(String::as_str).collect();
        parts::join(&texts)
    }

    /// Which members have which revision, asked of each.
    async fn lag(&self) -> Answered {
        let cards = self.status().await?.members;
        let asked = cards.iter().map(|card| self.revision_of(card));
        let rows: Vec<Lag> = futures_util::future::join_all(asked).await;
        Ok(http::json(StatusCode::OK, &rows))
    }

    async fn revision_of(&self, card: &Card) -> Lag {
        let ask = Control::AskRevision;
        let answer = match card.peer == self.ways.identity.peer {
            true => {
                let (reply, answer) = oneshot::channel();
                let _ = self.ways.control.unbounded_send(ControlMessage::Ask { body: ask, reply });
                answer.await.ok()
            }
            false => link::call(card.addr, &self.ways.identity, ask).await.ok(),
        };
        let revision = match answer {
            Some(Control::RevisionIs { revision, .. }) => Some(revision),
            _ => None,
        };
        Lag { member: card.peer.id.clone(), revision }
    }

    async fn explain(&self, query: &str) -> Answered {
        let labels: Labels = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .collect();
        let (reply, answer) = oneshot::channel();
        let _ = self.ways.events.unbounded_send(Event::Explain(labels, reply));
        let value = answer.await.map_err(|_| unavailable("the process is stopping"))?;
        Ok(http::json(StatusCode::OK, &value))
    }

    async fn pools(&self) -> Answered {
        let (reply, answer) = oneshot::channel();
        let _ = self.ways.events.unbounded_send(Event::Pools(reply));
        let value = answer.await.map_err(|_| unavailable("the process is stopping"))?;
        Ok(http::json(StatusCode::OK, &value))
    }

    async fn requests(&self) -> Answered {
        let cards = self.status().await?.members;
        let mut rows = BTreeMap::new();
        for card in cards.iter().filter(|c| c.role == ebonyloft_core::members::Role::Sidecar) {
            let ask = Control::List { limit: ROW_LIMIT };
            if let Ok(Control::Listed { rows: listed }) =
                link::call(card.addr, &self.ways.identity, ask).await
            {
                rows.insert(card.peer.id.clone(), listed);
            }
        }
        Ok(http::json(StatusCode::OK, &rows))
    }

    async fn drain(&self, name: &str, who: &str) -> Answered {
        let card = self.member(name).await?;
        if card.peer == self.ways.identity.peer {
            let _ = self.ways.events.unbounded_send(Event::Leave);
            return Ok(http::json(StatusCode::ACCEPTED, &"draining"));
        }
        let ask = Control::Drain { by: MemberId(who.to_owned()) };
        match link::call(card.addr, &self.ways.identity, ask).await {
            Ok(Control::Ok) => Ok(http::json(StatusCode::ACCEPTED, &"draining")),
            _ => Err(unavailable("the member did not answer; ask again")),
        }
    }

    async fn order(&self, req: Request<Incoming>, name: &str, who: String) -> Answered {
        let body = read(req).await?;
        let form: OrderForm = serde_json::from_slice(&body).map_err(|e| bad(&e.to_string()))?;
        let card = self.member(name).await?;
        let loads = form.action.loads();
        if loads {
            self.take_permit(&card.peer.id).await?;
        }
        let answered = self.send_order(&card, form.action, who).await;
        if loads {
            self.give_permit(&card.peer.id).await;
        }
        answered
    }

    async fn send_order(&self, card: &Card, action: Action, who: String) -> Answered {
        let name = card.peer.id.as_str();
        let (fence, lease_end) = self.take_fence(name, &who).await?;
        let order =
            Order { target: card.peer.id.clone(), fence, holder: who.clone(), lease_end, action };
        tracing::info!(%who, member = name, fence, action = ?order.action, "order given");
        let answer = link::call(card.addr, &self.ways.identity, Control::Order(order)).await;
        match answer {
            Ok(Control::Ordered(result)) => {
                let status = match result {
                    OrderResult::Done => StatusCode::OK,
                    OrderResult::Failed { .. } => StatusCode::BAD_GATEWAY,
                    _ => StatusCode::CONFLICT,
                };
                Ok(http::json(status, &result))
            }
            _ => Err(unavailable("the sidecar did not answer; the order may have taken effect")),
        }
    }

    /// Takes the next order number by compare-and-swap. While another holder's lease lasts it is
    /// refused, so that two operators do not order one engine about at the same time.
    async fn take_fence(
        &self,
        name: &str,
        who: &str,
    ) -> Result<(u64, ebonyloft_core::time::Moment), Problem> {
        let key = format!("{FENCE_PREFIX}{name}");
        let now = self.ways.clock.now();
        let stored = self.ways.store.read(&key).await.map_err(|e| not_accepted(&e))?;
        let row = stored.value.and_then(|v| serde_json::from_slice::<FenceRow>(&v).ok());
        let row = row.unwrap_or_default();
        if row.lease_end > now && row.holder != who {
            let detail = format!("operator `{}` holds the engine's order lease", row.holder);
            return Err(Problem::new(StatusCode::CONFLICT, "held", detail));
        }
        let lease_end = now.after(ORDER_LEASE);
        // Who holds the number already goes on with it: a new one would make the gate wait anew.
        let holds = row.lease_end > now && row.holder == who;
        let fence = if holds { row.fence } else { row.fence + 1 };
        let next = FenceRow { fence, holder: who.to_owned(), lease_end };
        let body = serde_json::to_vec(&next).map_err(|e| bad(&e.to_string()))?;
        match self.ways.store.swap(&key, body.into(), stored.index).await {
            Ok(true) => Ok((next.fence, lease_end)),
            Ok(false) => {
                Err(Problem::new(StatusCode::CONFLICT, "raced", "another order came first"))
            }
            // The number may be taken; it is simply not used.
            Err(e) => Err(not_accepted(&e)),
        }
    }

    /// Takes one of the few loads from the weight store that may be under way at once.
    async fn take_permit(&self, member: &MemberId) -> Result<(), Problem> {
        let now = self.ways.clock.now();
        let limit = self.ways.in_force.borrow().doc.weight_loads;
        let (stored, permits) = self.permits().await?;
        let next = permits.take(now, member, limit).map_err(|at| {
            let mut p = unavailable("as many loads from the weight store are under way as may be");
            p.retry_after = Some(at.since(now).as_secs().max(1));
            p
        })?;
        let body = serde_json::to_vec(&next).map_err(|e| bad(&e.to_string()))?;
        match self.ways.store.swap(PERMIT_KEY, body.into(), stored.index).await {
            Ok(true) => Ok(()),
            Ok(false) => {
                Err(Problem::new(StatusCode::CONFLICT, "raced", "another load came first"))
            }
            Err(e) => Err(not_accepted(&e)),
        }
    }

    /// Gives a permit back; one that is not given back ends by itself.
    async fn give_permit(&self, member: &MemberId) {
        if let Ok((stored, permits)) = self.permits().await
            && let Ok(body) = serde_json::to_vec(&permits.give(member))
        {
            let _ = self.ways.store.swap(PERMIT_KEY, body.into(), stored.index).await;
        }
    }

    async fn permits(&self) -> Result<(Stored, Permits), Problem> {
        let stored = self.ways.store.read(PERMIT_KEY).await.map_err(|e| not_accepted(&e))?;
        let permits = stored.value.as_ref().and_then(|v| serde_json::from_slice(v).ok());
        Ok((stored, permits.unwrap_or_default()))
    }

    async fn member(&self, name: &str) -> Result<Card, Problem> {
        let cards = self.status().await?.members;
        cards.into_iter().find(|c| c.peer.id.0 == name).ok_or_else(|| {
            Problem::new(StatusCode::NOT_FOUND, "member", format!("no member is named `{name}`"))
        })
    }
}

/// Reads after a lost answer, at most.
const RESOLVE_TRIES: u32 = 10;
/// Pause between them.
const RESOLVE_PAUSE: std::time::Duration = std::time::Duration::from_millis(500);

/// The revision in force at a member; none when it did not answer.
#[derive(Debug, Deserialize, Serialize)]
pub struct Lag {
    /// The member.
    pub member: MemberId,
    /// Its revision.
    pub revision: Option<u64>,
}

async fn read(req: Request<Incoming>) -> Result<Bytes, Problem> {
    http::read_body(req.into_body(), BODY_LIMIT).await.ok_or_else(|| {
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body", format!("at most {BODY_LIMIT} bytes"))
    })
}

fn accepted(revision: u64, changes: usize) -> Response<Body> {
    http::json(StatusCode::OK, &Applied { revision, changes })
}

fn bad(detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
}

fn unavailable(detail: &str) -> Problem {
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", detail)
}

fn not_accepted(e: &StoreError) -> Problem {
    unavailable(&format!("nothing was accepted: {e}"))
}

/// What changed, in at most a few words a path.
fn summary(changes: &[Change], why: &str) -> String {
    const PATHS: usize = 5;
    let mut text: Vec<&str> = changes.iter().take(PATHS).map(|c| c.path.as_str()).collect();
    if changes.len() > PATHS {
        text.push("...");
    }
    match why {
        "" => text.join(", "),
        why => format!("{why}: {}", text.join(", ")),
    }
}
