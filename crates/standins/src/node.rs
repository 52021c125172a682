//! A process of the system as a thread of this one: it can be stopped, killed, paused and restarted.
//!
//! A killed node's thread drops its runtime, so its sockets close as those of a killed process do. A
//! paused node's thread sleeps, so nothing of it runs.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use futures_channel::oneshot;
use futures_util::future::{Either, select};

/// How often a node looks whether it is to pause.
const LOOK: Duration = Duration::from_millis(10);

/// Asks a node to stop gracefully.
pub type Stop = Pin<Box<dyn Future<Output = ()>>>;

/// A running node.
pub struct Node {
    /// Its name.
    pub name: String,
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    pause_ms: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node: `main` makes its future inside the new thread.
    pub fn start<M, F>(name: &str, main: M) -> Node
    where
        M: FnOnce(Stop) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let (stop, stopped) = oneshot::channel::<()>();
        let (kill, killed) = oneshot::channel::<()>();
        let pause_ms = Arc::new(AtomicU64::new(0));
        let pause = pause_ms.clone();
        let body = move || {
            let runtime = compio::runtime::Runtime::new().expect("runtime");
            runtime.block_on(async move {
                let stop: Stop = Box::pin(async move {
                    if stopped.await.is_err() {
                        std::future::pending::<()>().await;
                    }
                });
                compio::runtime::spawn(watch_pause(pause)).detach();
                let main = std::pin::pin!(main(stop));
                let killed = std::pin::pin!(async move {
                    if killed.await.is_err() {
                        std::future::pending::<()>().await;
                    }
                });
                match select(main, killed).await {
                    Either::Left(_) | Either::Right(_) => {}
                }
            });
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body);
        Node {
            name: name.to_owned(),
            stop: Some(stop),
            kill: Some(kill),
            pause_ms,
            thread: thread.ok(),
        }
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        self.join();
    }

    /// Freezes it.
    pub fn pause(&self, time: Duration) {
        self.pause_ms
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Has it ended?
    pub fn ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until it ended.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn watch_pause(pause: Arc<AtomicU64>) {
    loop {
        let ms = pause.swap(0, Ordering::Relaxed);
        if ms > 0 {
            std::thread::sleep(Duration::from_millis(ms));
        }
        compio::time::sleep(LOOK).await;
    }
}
