//! One life of a backend server: its listener and connections, which end together when it crashes.

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

/// The tasks of a life; dropping it closes all its sockets.
pub struct Life {
    _listening: JoinHandle<()>,
}

impl Life {
    /// Listens from now on.
    pub async fn begin<H, F>(addr: SocketAddr, handler: H) -> Life
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let listener = TcpListener::bind(addr).await.expect("a free address");
        Life { _listening: compio::runtime::spawn(listen(listener, handler)) }
    }
}

async fn listen<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Dropped with this task, and so are the connections' tasks.
    let open: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
    while let Ok((stream, _)) = listener.accept().await {
        // Nothing breaks without it.
        let _ = stream.set_nodelay(true);
        let task = compio::runtime::spawn(http::serve_connection(stream, handler.clone()));
        let mut open = open.borrow_mut();
        open.retain(|task| !task.is_finished());
        open.push(task);
    }
}
