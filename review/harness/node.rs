//! Processes of the project, started with the command of its deploy file.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

/// Deploy file of the project, which has the command of the role.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Ports of a machine, the same on all machines.
const INBOUND_PORT: u16 = 8300;
const TARGET_PORT: u16 = 8301;
const READY_PORT: u16 = 8302;
const OUTBOUND_PORT: u16 = 8304;
const CONTROL_PORT: u16 = 8306;
const INTERNAL_PORTS: (u16, u16) = (7620, 7635);

/// Lets the system kill a process when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// What the platform writes into the settings of a node.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub service: String,
    pub ip: IpAddr,
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

impl Settings {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn target(&self) -> SocketAddr {
        self.address(TARGET_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(READY_PORT)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(OUTBOUND_PORT)
    }

    pub fn control_plane(&self) -> SocketAddr {
        self.address(CONTROL_PORT)
    }

    fn to_toml(&self) -> String {
        let Settings {
            name,
            zone,
            service,
            ip,
            store,
            bootstrap,
            ..
        } = self;
        let (first, last) = INTERNAL_PORTS;
        let zones: String = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"region-1\"\n"))
            .collect();
        format!(
            r#"nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPortRange = [{first},{last}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "local"
entry = "local"
heartbeatIntervalMs = 870
contracts = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seedLagS=3","addressReuseS=2","stableWindowMs=3000","ackTimeoutMs=4000","catchUpS=4","drainTimeoutMs=2000","gracePeriodS=6","lossSlackMs=200","configPropagationMs=2000","rollbackSlackMs=250","maxExtensionMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetExtra=58","recoveryS=15"]
appAddress = "{ip}:{TARGET_PORT}"
service = "{service}"
[zones]
{zones}[listenersConfig]
inbound = "{ip}:{INBOUND_PORT}"
outbound = "{ip}:{OUTBOUND_PORT}"
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
"#
        )
    }
}

/// A node's process. It is killed when this value is dropped.
pub struct Node {
    pub settings: Settings,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Node {
    pub fn start(settings: Settings, folder: &Path, record: &Record) -> std::io::Result<Self> {
        let mut node = Self {
            settings,
            folder: folder.to_owned(),
            child: None,
            record: record.clone(),
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process. The caller has ended the one before.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let file = self.folder.join(format!("{}.toml", self.settings.name));
        fs::write(&file, self.settings.to_toml())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.settings.name)))?;
        let command = deploy_command()?;
        let mut words = command.split(' ');
        let mut command = Command::new(words.next().unwrap_or(""));
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("LANG", "C.UTF-8")
            .env("SEQUOIAGW_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!(
            "node {} starts as process {}",
            self.settings.name,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// SIGKILL, at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("node {} is killed", self.settings.name));
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
        self.record
            .line(&format!("node {} gets SIG{name}", self.settings.name));
    }

    /// Whether the process has ended by itself; takes note of it.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        if matches!(child.try_wait(), Ok(Some(_))) {
            self.child = None;
            self.record
                .line(&format!("node {} has ended", self.settings.name));
            return true;
        }
        false
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.settings.ready())
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks for readiness as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_secs(1);
    let Ok(mut connection) = Connection::open(address, limit) else {
        return false;
    };
    let host = address.to_string();
    let sent = connection.send("GET", "/readiness", &[("Host", &host)], b"");
    let deadline = Instant::now() + limit;
    sent.is_ok()
        && connection
            .read(Some(deadline))
            .is_some_and(|answer| answer.status() == 200)
}

/// Command of the role in the deploy file.
fn deploy_command() -> std::io::Result<String> {
    let file = fs::read_to_string(DEPLOY_FILE)?;
    let line = file
        .lines()
        .find_map(|line| line.trim().strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.strip_suffix('"'));
    command
        .map(str::to_owned)
        .ok_or_else(|| std::io::Error::other("the deploy file has no command"))
}

/// Loopback addresses that nothing else uses, one for each machine.
pub fn machine_addresses(count: u8) -> Vec<IpAddr> {
    let id = std::process::id();
    let first = |machine: u8| {
        IpAddr::V4(Ipv4Addr::new(
            127,
            100 + (id >> 8 & 63) as u8,
            (id & 255) as u8,
            machine + 1,
        ))
    };
    (0..count).map(first).collect()
}
