//! Stage orders at a model engine. An engine that carries them out rejects all work until its stage has
//! changed, and registers then; others only record them. A restart forgets orders and fencing tokens.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_router::catalog::{ServerId, Stage};
use ebonyloftd::gateway::answer::Body;
use hyper::{HeaderMap, Response};

use super::{BackendServer, response};

/// Time until a late answer, beyond the caller's limit of 600 ms.
const LATE_ANSWER: Duration = Duration::from_millis(800);
/// Time until an order is carried out late.
const LATE_ORDER: Duration = Duration::from_millis(2_000);

/// Fault of an engine at stage orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OrderFault {
    /// No fault.
    #[default]
    None,
    /// Answers after the caller's time limit.
    AnswersLate,
    /// Carries orders out and never answers them.
    AnswersNever,
    /// Never answers orders and carries them out seconds later.
    ActsLate,
}

/// Orders that an engine received.
#[derive(Default)]
pub(super) struct Orders {
    /// Time that a change takes; none if orders are only recorded.
    change_time: Cell<Option<Duration>>,
    fault: Cell<OrderFault>,
    /// The incarnation whose stage changes.
    changing: RefCell<Option<ServerId>>,
    /// Highest fencing token, and the incarnation that saw it.
    fence: RefCell<Option<(ServerId, u64)>>,
    carried_out: Cell<u64>,
}

impl BackendServer {
    /// Makes the engine carry out orders; each change takes this long.
    pub fn carry_out_orders(&self, change_time: Duration) {
        self.orders.change_time.set(Some(change_time));
    }

    /// Sets the fault of all later orders.
    pub fn set_order_fault(&self, fault: OrderFault) {
        self.orders.fault.set(fault);
    }

    /// Returns how often its stage has changed by an order.
    pub fn changed_stages(&self) -> u64 {
        self.orders.carried_out.get()
    }

    /// Does its stage change now?
    pub(super) fn is_changing_stage(&self) -> bool {
        *self.orders.changing.borrow() == Some(self.server.borrow().id.clone())
    }

    pub(super) async fn on_order(self: Rc<Self>, stage: Stage, fence: u64) -> Response<Body> {
        let Some(change_time) = self.orders.change_time.get() else {
            return response(202, HeaderMap::new(), Vec::new());
        };
        let (fault, id) = (self.orders.fault.get(), self.server.borrow().id.clone());
        if fault == OrderFault::ActsLate {
            compio::runtime::spawn(async move {
                compio::time::sleep(LATE_ORDER).await;
                if self.server.borrow().id == id {
                    self.accept_order(stage, fence, change_time);
                }
            })
            .detach();
            return std::future::pending().await;
        }
        let status = self.accept_order(stage, fence, change_time);
        match fault {
            OrderFault::AnswersLate => compio::time::sleep(LATE_ANSWER).await,
            OrderFault::AnswersNever => std::future::pending().await,
            _ => {}
        }
        response(status, HeaderMap::new(), Vec::new())
    }

    /// Begins to carry out an order, and returns the status of the answer.
    fn accept_order(self: &Rc<Self>, stage: Stage, fence: u64, change_time: Duration) -> u16 {
        let id = self.server.borrow().id.clone();
        let seen = self.orders.fence.borrow().clone().filter(|(seen_by, _)| *seen_by == id);
        if seen.is_some_and(|(_, highest)| fence < highest) {
            return 412;
        }
        self.orders.fence.replace(Some((id.clone(), fence)));
        if self.is_changing_stage() {
            return 409;
        }
        if self.server.borrow().stage == Some(stage) {
            return 200;
        }
        self.orders.changing.replace(Some(id.clone()));
        let me = self.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(change_time).await;
            me.complete_order(&id, stage);
        })
        .detach();
        202
    }

    fn complete_order(&self, id: &ServerId, stage: Stage) {
        if self.server.borrow().id != *id {
            return;
        }
        self.orders.changing.replace(None);
        self.orders.carried_out.set(self.orders.carried_out.get() + 1);
        self.server.borrow_mut().stage = Some(stage);
        if let Some(store) = &*self.store.borrow() {
            store.register(&self.server.borrow());
        }
    }
}
