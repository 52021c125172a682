//! Listening socket and connections of one incarnation of a backend server; a crash closes all of them.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use ebonyloftd::gateway::answer::Body;
use ebonyloftd::http;
use hyper::body::Incoming;
use hyper::{Request, Response};

/// Tasks that accept and serve connections; dropping it closes all sockets.
pub struct Listener {
    _accept_loop: JoinHandle<()>,
}

impl Listener {
    /// Binds `addr` and serves its connections with `handler`.
    pub async fn start<H, F>(addr: SocketAddr, handler: H) -> Listener
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let listener = TcpListener::bind(addr).await.expect("a free address");
        Listener { _accept_loop: compio::runtime::spawn(accept_loop(listener, handler)) }
    }
}

async fn accept_loop<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Owned by this task: dropping the task also drops the tasks of all connections.
    let connections: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
    while let Ok((stream, _)) = listener.accept().await {
        // Without it requests are only slower.
        let _ = stream.set_nodelay(true);
        let task = compio::runtime::spawn(http::serve_connection(stream, handler.clone()));
        let mut connections = connections.borrow_mut();
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}
