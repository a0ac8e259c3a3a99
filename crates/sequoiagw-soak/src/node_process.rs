//! Starts, signals and stops the process of one node.

use std::fs::File;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use eyre::WrapErr;
use sequoiagw_platform_standins::NodeAddresses;
use sequoiagw_platform_standins::SETTINGS_VARIABLE;
use tokio::time::sleep;

/// Interval at which the exit of a process is checked.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node's process, killed when this value is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    /// Address at which the node accepts links. Other nodes receive the address of the proxy in
    /// front of it.
    peer_listen: SocketAddr,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the settings file without starting the process.
    ///
    /// Errors: the settings file cannot be written.
    pub fn new(
        program: PathBuf,
        folder: &std::path::Path,
        addresses: &NodeAddresses,
        peer_listen: SocketAddr,
    ) -> eyre::Result<Self> {
        let settings_file = folder.join(format!("{}.toml", addresses.name));
        std::fs::write(
            &settings_file,
            sequoiagw_platform_standins::settings_toml(addresses),
        )
        .wrap_err("cannot write the settings file")?;
        Ok(Self {
            program,
            settings_file,
            log_file: folder.join(format!("{}.log", addresses.name)),
            peer_listen,
            child: None,
        })
    }

    /// Starts the process and appends its output to the node's log file.
    ///
    /// Errors: the log file cannot be opened, or the program cannot be started.
    pub fn start(&mut self) -> eyre::Result<()> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .wrap_err("cannot open the node's log file")?;
        let stderr_log = log
            .try_clone()
            .wrap_err("cannot open the node's log file")?;
        let child = Command::new(&self.program)
            .arg("platform-node")
            .arg("--peer-listen")
            .arg(self.peer_listen.to_string())
            .env(SETTINGS_VARIABLE, &self.settings_file)
            .stdout(log)
            .stderr(stderr_log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if one is running.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            eprintln!("signal_failed signal={name} pid={}", child.id());
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the process has already exited, which is the intended state.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether no process is running: it has exited or was never started.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let exited = matches!(child.try_wait(), Ok(Some(_)));
        if exited {
            self.child = None;
        }
        exited
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `has_exited` returns true, for at most `limit`. Returns whether it did.
pub(crate) async fn wait_for_exit<HasExited>(limit: Duration, mut has_exited: HasExited) -> bool
where
    HasExited: FnMut() -> bool,
{
    let polls = limit.as_millis() / EXIT_POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if has_exited() {
            return true;
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
    false
}
