//! The project's own processes, started with the command of the deploy file.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::http::Connection;
use super::record;

/// Program and arguments of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/sequoiagw";
const ARGUMENTS: [&str; 3] = ["platform-node", "--metrics-port", "19464"];

pub const METRICS_PORT: u16 = 19464;
pub const PEER_PORT: u16 = 7620;
pub const TARGET_PORT: u16 = 8301;
pub const INBOUND_PORT: u16 = 8300;
pub const READY_PORT: u16 = 8302;
pub const CALLER_PORT: u16 = 8304;
pub const CONTROL_PORT: u16 = 8306;
pub const STORE_PORT: u16 = 8309;
/// All ports of a machine.
pub const PORTS: [u16; 8] = [
    METRICS_PORT,
    PEER_PORT,
    TARGET_PORT,
    INBOUND_PORT,
    READY_PORT,
    CALLER_PORT,
    CONTROL_PORT,
    STORE_PORT,
];

/// Bounds of a small deployment, as in the settings that the pages show.
pub const BOUNDS: &[&str] = &[
    "seedLagS=3",
    "addressReuseS=2",
    "stableWindowMs=3000",
    "ackTimeoutMs=4000",
    "catchUpS=4",
    "drainTimeoutMs=2000",
    "gracePeriodS=6",
    "lossSlackMs=200",
    "configPropagationMs=2000",
    "rollbackSlackMs=250",
    "maxExtensionMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "retryBudgetExtra=56",
    "recoveryS=15",
];
pub const CONTRACTS: &[&str] = &[
    "base", "drain", "config", "cost", "retry", "recover", "platform",
];

/// What distinguishes a machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub service: String,
    pub contracts: Vec<String>,
    pub bounds: Vec<String>,
    /// Address of the store for this machine.
    pub store: SocketAddr,
    pub heartbeat_interval_ms: u64,
}

impl Machine {
    pub fn new(name: &str, ip: IpAddr, zone: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            service: service.to_owned(),
            contracts: CONTRACTS.iter().map(ToString::to_string).collect(),
            bounds: BOUNDS.iter().map(ToString::to_string).collect(),
            store: SocketAddr::new(ip, STORE_PORT),
            heartbeat_interval_ms: 1500,
        }
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    fn settings(&self, bootstrap: bool) -> String {
        let list = |items: &[String]| {
            let quoted: Vec<String> = items.iter().map(|item| format!("\"{item}\"")).collect();
            quoted.join(",")
        };
        let ip = self.ip;
        format!(
            r#"nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "araucania"
internalPortRange = [{PEER_PORT},{PEER_LAST}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "local"
entry = "local"
heartbeatIntervalMs = {interval}
contracts = [{contracts}]
bounds = [{bounds}]
appAddress = "{ip}:{TARGET_PORT}"
service = "{service}"
[zones]
{zone} = "araucania"
[listenersConfig]
inbound = "{ip}:{INBOUND_PORT}"
outbound = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READY_PORT}"
controlPlane = "{ip}:{CONTROL_PORT}"
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
            zone = self.zone,
            interval = self.heartbeat_interval_ms,
            contracts = list(&self.contracts),
            bounds = list(&self.bounds),
            service = self.service,
            store = self.store,
            PEER_LAST = PEER_PORT + 15,
        )
    }
}

/// A node's process.
pub struct Node {
    pub machine: Machine,
    folder: PathBuf,
    root: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node; `bootstrap` only when the whole system starts for the first time.
    pub fn start(
        machine: Machine,
        root: &Path,
        folder: &Path,
        bootstrap: bool,
    ) -> std::io::Result<Self> {
        let child = spawn(&machine, root, folder, bootstrap)?;
        Ok(Self {
            machine,
            folder: folder.to_owned(),
            root: root.to_owned(),
            child,
        })
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.machine, &self.root, &self.folder, false)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        record::line(&format!("platform: SIG{name} to {}", self.machine.name));
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        record::line(&format!("platform: SIGKILL to {}", self.machine.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended; after `grace` it is killed, as the platform does.
    pub fn wait_end(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                record::line(&format!(
                    "platform: {} has ended: {status}",
                    self.machine.name
                ));
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get(READY_PORT, "/readiness")
            .is_some_and(|(status, _)| status == 200)
    }

    /// Status and body that one of the node's own addresses answers.
    pub fn get(&self, port: u16, path: &str) -> Option<(u16, String)> {
        let limit = Duration::from_secs(1);
        let stream = TcpStream::connect_timeout(&self.machine.at(port), limit).ok()?;
        let mut connection = Connection::new(stream);
        let first = format!("GET {path} HTTP/1.1");
        connection.write(&first, &[("Host", "node")], b"").ok()?;
        let answer = connection.read(limit).ok()?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        Some((answer.word(1).parse().ok()?, body))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(machine: &Machine, root: &Path, folder: &Path, bootstrap: bool) -> std::io::Result<Child> {
    let settings = folder.join(format!("{}.toml", machine.name));
    std::fs::write(&settings, machine.settings(bootstrap))?;
    let log: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{}.log", machine.name)))?;
    record::line(&format!("platform: starts {}", machine.name));
    Command::new(root.join(PROGRAM))
        .args(ARGUMENTS)
        .current_dir(root)
        .env("SEQUOIAGW_CONFIG", &settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[&Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(|node| node.is_ready()) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A new temporary folder for settings and logs.
pub fn temporary_folder(name: &str) -> std::io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("sequoiagw-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
