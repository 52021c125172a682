//! The platform's store: the project's stand-in, in a thread of its own.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::time::Duration;

use ebonyloft_standins::fleet::store::Store;

enum Command {
    Put(String, Vec<u8>, Sender<()>),
    Remove(String, Sender<()>),
}

/// The running store.
#[derive(Clone)]
pub struct StoreThread(Sender<Command>);

impl StoreThread {
    /// Starts it.
    pub fn start(addr: SocketAddr) -> StoreThread {
        let (sender, commands) = channel();
        std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(serve(addr, commands));
        });
        StoreThread(sender)
    }

    /// Writes a key; it is acknowledged once this returns.
    pub fn put(&self, key: &str, value: &str) {
        let (done, acknowledged) = channel();
        let _ = self.0.send(Command::Put(key.to_owned(), value.as_bytes().to_vec(), done));
        let _ = acknowledged.recv();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let (done, acknowledged) = channel();
        let _ = self.0.send(Command::Remove(key.to_owned(), done));
        let _ = acknowledged.recv();
    }
}

async fn serve(addr: SocketAddr, commands: Receiver<Command>) {
    let store = Store::start(addr).await;
    loop {
        match commands.try_recv() {
            Ok(Command::Put(key, value, done)) => {
                store.put(&key, &value, 0);
                let _ = done.send(());
            }
            Ok(Command::Remove(key, done)) => {
                store.remove(&key);
                let _ = done.send(());
            }
            Err(TryRecvError::Empty) => compio::time::sleep(Duration::from_millis(1)).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}
