//! Processes of the project: nodes started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, request};

/// Host on which a node and its target run: a loopback address of its own.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    pub target: SocketAddr,
    pub peer: SocketAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl Host {
    pub fn new(name: &str, ip: &str, zone: &str, service: &str, target: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            target,
            peer: free_address(ip),
            outbound: free_address(ip),
            ready: free_address(ip),
            control: free_address(ip),
        }
    }

    /// Settings file, as in DEPLOY.md, with the bounds of the small deployments.
    fn settings(&self, store: SocketAddr, zones: &[&str], bootstrap: bool) -> String {
        let zone_lines: String = zones.iter().map(|zone| format!("{zone} = \"north\"\n")).collect();
        let port = self.peer.port();
        format!(
            r#"nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "north"
internalPortRange = [{port},{port}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "local"
entry = "local"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seedLagS=3","addressReuseS=2","stableWindowMs=3000","ackTimeoutMs=4000","catchUpS=4","drainTimeoutMs=2000","gracePeriodS=6","lossSlackMs=200","configPropagationMs=2000","rollbackSlackMs=250","maxExtensionMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetExtra=56","recoveryS=15"]
appAddress = "{target}"
service = "{service}"
[zones]
{zone_lines}[listenersConfig]
inbound = "{ip}:0"
outbound = "{outbound}"
ready = "{ready}"
controlPlane = "{control}"
[limits]
cpuShare = 0.2
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyRetentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#,
            name = self.name,
            ip = self.ip,
            zone = self.zone,
            target = self.target,
            service = self.service,
            outbound = self.outbound,
            ready = self.ready,
            control = self.control,
        )
    }

    pub fn is_ready(&self) -> bool {
        let bytes = request("GET", "/readiness", &[("Host", "ready")], b"");
        let answer = call(self.ready, &bytes, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

/// A free port of a loopback address.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("the loopback address has a free port");
    listener.local_addr().expect("the listener has an address")
}

/// A running node. It is killed when this value is dropped.
pub struct Node {
    pub host: Host,
    child: Child,
    folder: PathBuf,
    starts: u32,
}

impl Node {
    /// Starts a node whose settings and logs are in `folder`.
    pub fn start(
        root: &Path,
        folder: &Path,
        host: &Host,
        store: SocketAddr,
        zones: &[&str],
        bootstrap: bool,
    ) -> Self {
        let child = spawn(root, folder, host, store, zones, bootstrap, 0);
        Self { host: host.clone(), child, folder: folder.to_owned(), starts: 1 }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, root: &Path, store: SocketAddr, zones: &[&str]) {
        self.child = spawn(root, &self.folder, &self.host, store, zones, false, self.starts);
        self.starts += 1;
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").arg("-c").arg(command).status();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(
    root: &Path,
    folder: &Path,
    host: &Host,
    store: SocketAddr,
    zones: &[&str],
    bootstrap: bool,
    starts: u32,
) -> Child {
    let settings = folder.join(format!("{}.toml", host.name));
    std::fs::write(&settings, host.settings(store, zones, bootstrap)).expect("settings are written");
    let log = File::create(folder.join(format!("{}-{starts}.log", host.name))).expect("log file");
    // The command of deploy/system.toml.
    Command::new(root.join("target/release/sequoiagw"))
        .args(["platform-node", "--metrics-port", "19464"])
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("SEQUOIAGW_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log file"))
        .stderr(log)
        .spawn()
        .expect("the node starts; run the build of the deploy file first")
}
