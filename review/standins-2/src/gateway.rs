//! Gateway processes, started as the deploy file says.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::client::{Client, Got};
use crate::{addr, ip};

/// Port for clients.
pub const FRONT: u16 = 8144;
/// Port of the readiness check.
pub const READY: u16 = 8140;

/// A gateway process with its settings.
pub struct Gateway {
    host: u8,
    folder: PathBuf,
    store: SocketAddr,
    zone: String,
    /// Its `grace_period_s`.
    grace: u32,
    child: Option<Child>,
}

impl Gateway {
    /// Starts a gateway at loopback address `host`; `folder` is for its settings and log.
    pub fn start(host: u8, zone: &str, store: SocketAddr, folder: &Path) -> Gateway {
        let mut gateway = Gateway {
            host,
            folder: folder.to_owned(),
            store,
            zone: zone.to_owned(),
            grace: 8,
            child: None,
        };
        gateway.write_settings("");
        gateway.spawn();
        gateway
    }

    fn file(&self) -> PathBuf {
        self.folder.join(format!("gateway-{}.toml", self.host))
    }

    /// Path of its log.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("gateway-{}.log", self.host))
    }

    /// Writes its settings file; `comment` is added as a comment.
    pub fn write_settings(&self, comment: &str) {
        let ip = ip(self.host);
        let (zone, store, grace, host) = (&self.zone, self.store, self.grace, self.host);
        let text = format!(
            "# {comment}\nnode_name = \"front-{zone}-{host}\"\nrole = \"gateway\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip_address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"sicilia\"\n\
             port_range = [7660, 7675]\nseed_nodes = []\nbootstrap = true\nheartbeat_ms = 1200\n\
             [zones]\n{zone} = \"sicilia\"\n[listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\n\
             [limits]\ncpu_share = 0.19\ncpu_cores = 1\nmemory_mb = 110\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_timeout_ms = 2000\ngrace_period_s = {grace}\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nskew_max_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_extra = 54\nrecover_s = 12\ntransit_ms = 120\nrequire_fence = true\nlease_ms = 3000\n\
             thaw_ms = 300\n[platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        );
        // Replaced at once, so that no reader sees half of it.
        let next = self.folder.join(format!("gateway-{host}.next"));
        std::fs::write(&next, text).expect("a writable folder");
        std::fs::rename(&next, self.file()).expect("a writable folder");
    }

    /// Changes `grace_period_s` in its settings file.
    pub fn set_grace(&mut self, seconds: u32) {
        self.grace = seconds;
        self.write_settings("the grace period has changed");
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(self.log()).expect("a log");
        let child = Command::new("target/release/ebonyloftd")
            .arg("gateway")
            .env("EBONYLOFT_NODE_FILE", self.file())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/ebonyloftd is built"));
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        addr(self.host, FRONT)
    }

    /// Does the readiness check get 200?
    pub fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(addr(self.host, READY)) else { return false };
        let limit = Duration::from_secs(1);
        if client.send("GET /readiness", "ready", "-", limit, "", "").is_err() {
            return false;
        }
        matches!(client.receive(limit), Got::Answer(head, _) if head.status() == 200)
    }

    /// Waits until it is ready; false if it isn't within the time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
