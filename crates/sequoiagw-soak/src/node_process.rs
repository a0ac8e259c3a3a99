//! A node's process: started, signalled and ended by its id.

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

/// Time between two looks whether a process has ended.
const END_PERIOD: Duration = Duration::from_millis(20);

/// A node's process; it is killed when this value goes.
pub(crate) struct NodeProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Address at which links are taken, behind the proxy whose address is told to others.
    peer_listen: SocketAddr,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the settings file; the process isn't started yet.
    pub(crate) fn new(
        program: PathBuf,
        folder: &std::path::Path,
        places: &NodeAddresses,
        peer_listen: SocketAddr,
    ) -> eyre::Result<Self> {
        let settings = folder.join(format!("{}.toml", places.name));
        std::fs::write(
            &settings,
            sequoiagw_platform_standins::settings_toml(places),
        )
        .wrap_err("the settings can't be written")?;
        Ok(Self {
            program,
            settings,
            log: folder.join(format!("{}.log", places.name)),
            peer_listen,
            child: None,
        })
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) -> eyre::Result<()> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .wrap_err("the log can't be opened")?;
        let errors = log.try_clone().wrap_err("the log can't be opened")?;
        let child = Command::new(&self.program)
            .arg("platform-node")
            .arg("--peer-listen")
            .arg(self.peer_listen.to_string())
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdout(log)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, name: &str) {
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

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself, which a caller sees anyway.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended; one that was never started has.
    pub(crate) fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let ended = matches!(child.try_wait(), Ok(Some(_)));
        if ended {
            self.child = None;
        }
        ended
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `has_ended` says so, or `limit` is over; tells whether it did.
pub(crate) async fn wait_for_end<Ended>(limit: Duration, mut has_ended: Ended) -> bool
where
    Ended: FnMut() -> bool,
{
    let steps = limit.as_millis() / END_PERIOD.as_millis();
    for _ in 0..steps {
        if has_ended() {
            return true;
        }
        sleep(END_PERIOD).await;
    }
    false
}
