//! Runs the program as separate processes that are killed, paused and terminated.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Upper bound on the time that any awaited event may take, with a large margin.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const TOKEN: &str = "a-token-of-16-characters";

/// Addresses of one node: for callers, for peers, for administration, and of its backend server.
struct NodeEndpoints {
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    backend: SocketAddr,
}

/// Processes of a test; they are killed when this value is dropped.
struct ProcessFleet {
    children: Vec<Child>,
    nodes: Vec<NodeEndpoints>,
    settings: Vec<PathBuf>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let first = 12_000 + (std::process::id() % 6_000) as u16;
    let candidates = (first..20_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = candidates.filter(|address| TcpListener::bind(address).is_ok());
    free.take(count).collect()
}

fn program_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sequoiagw"));
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

fn spawn(arguments: &[&str]) -> Child {
    program_command()
        .args(arguments)
        .spawn()
        .expect("the process should start")
}

impl ProcessFleet {
    /// Starts a store, three nodes in two data centres, and their backend servers.
    fn start() -> Self {
        let addresses = free_addresses(13);
        let store = addresses[12];
        let nodes: Vec<NodeEndpoints> = addresses[..12]
            .chunks(4)
            .map(|addresses| NodeEndpoints {
                callers: addresses[0],
                peers: addresses[1],
                admin: addresses[2],
                backend: addresses[3],
            })
            .collect();
        let mut fleet = Self {
            children: Vec::new(),
            nodes,
            settings: Vec::new(),
        };
        fleet.children.push(spawn(&[
            "standin",
            "store",
            "--address",
            &store.to_string(),
        ]));
        for index in 0..3 {
            let file = fleet.write_settings(index, store);
            fleet.settings.push(file);
            fleet.start_node(index);
        }
        for index in 0..3 {
            let node = &fleet.nodes[index];
            let child = spawn(&[
                "standin",
                "backend",
                "--service",
                "press",
                "--address",
                &node.backend.to_string(),
                "--node",
                &format!("http://{}", node.admin),
            ]);
            fleet.children.push(child);
        }
        fleet
    }

    fn write_settings(&self, index: usize, store: SocketAddr) -> PathBuf {
        let node = &self.nodes[index];
        let data_centre = if index == 2 { "south" } else { "north" };
        let settings = format!(
            "name = \"node-{index}\"\ndata_centre = \"{data_centre}\"\npeer_address = \"{}\"\n\
             caller_address = \"{}\"\nadmin_address = \"{}\"\nadmin_token = \"{TOKEN}\"\n\
             seeds = [\"{}\", \"{}\"]\nstore_endpoints = [\"http://{store}\"]\n",
            node.peers, node.callers, node.admin, self.nodes[0].peers, self.nodes[1].peers
        );
        let file = format!("sequoiagw-test-{}-{index}.toml", std::process::id());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, settings).expect("the settings file should be written");
        file
    }

    fn start_node(&mut self, index: usize) {
        let file = self.settings[index].display().to_string();
        let child = spawn(&["node", "--settings", &file]);
        let child_index = index + 1;
        if child_index < self.children.len() {
            self.children[child_index] = child;
        } else {
            self.children.push(child);
        }
    }

    fn signal(&self, index: usize, name: &str) {
        let process = self.children[index + 1].id().to_string();
        let status = Command::new("kill")
            .args([name, &process])
            .status()
            .expect("the kill command should run");
        assert!(status.success());
    }

    /// Repeats a command against the first node until it succeeds.
    fn run_until_success(&self, arguments: &[&str]) {
        let started = Instant::now();
        loop {
            let status = program_command()
                .args(arguments)
                .env("SEQUOIAGW_ADMIN", format!("http://{}", self.nodes[0].admin))
                .env("SEQUOIAGW_TOKEN", TOKEN)
                .status()
                .expect("the command should run");
            if status.success() {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "expected success in time: {arguments:?}"
            );
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Calls through a node. Returns the status, the value of `sequoiagw-ran` and whether the answer
    /// was replayed; `None` if the call failed.
    fn call(&self, index: usize, key: &str) -> Option<(u16, String, bool)> {
        let url = format!("http://{}/press/dies/7", self.nodes[index].callers);
        let response = ureq::post(&url)
            .config()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(5)))
            .build()
            .header("idempotency-key", key)
            .send("die")
            .ok()?;
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let ran = header("sequoiagw-ran").unwrap_or("none").to_owned();
        Some((
            response.status().as_u16(),
            ran,
            header("sequoiagw-replayed").is_some(),
        ))
    }

    /// Calls with one key until the answer isn't a refusal that says the call has not run.
    fn call_until_not_refused(&self, index: usize, key: &str) -> (u16, String, bool) {
        let started = Instant::now();
        loop {
            match self.call(index, key) {
                Some(answer) if answer.1 != "no" => return answer,
                _ => assert!(
                    started.elapsed() < WAIT_TIMEOUT,
                    "expected an answer in time: {key}"
                ),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Calls with a new key each time until a call is served, and returns its key.
    fn call_until_served(&self, index: usize, name: &str) -> String {
        let started = Instant::now();
        for number in 0.. {
            let key = format!("{name}-{number}");
            if self
                .call(index, &key)
                .is_some_and(|(status, _, _)| status == 200)
            {
                return key;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "expected a served call in time: {name}"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        unreachable!("the loop only ends by returning or panicking")
    }
}

#[test]
fn serves_while_nodes_are_killed_paused_and_terminated() {
    let mut fleet = ProcessFleet::start();
    let mesh = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/mesh.toml");
    fleet.run_until_success(&["config", "apply", mesh, "--wait"]);

    let key = fleet.call_until_served(0, "whole");
    // A node that has just started may refuse the call as not run. Its first other answer must be
    // the stored one.
    let answer = fleet.call_until_not_refused(2, &key);
    assert_eq!(answer, (200, "yes".to_owned(), true));

    fleet.signal(1, "-KILL");
    fleet.call_until_served(0, "after-kill");
    fleet.start_node(1);
    fleet.call_until_served(1, "after-restart");

    fleet.signal(2, "-STOP");
    fleet.call_until_served(0, "during-pause");
    fleet.signal(2, "-CONT");
    fleet.call_until_served(2, "after-pause");

    fleet.run_until_success(&[
        "exception",
        "add",
        "slow",
        "--setting",
        "timeout",
        "--value",
        "3s",
        "--service",
        "press",
        "--reason",
        "test",
        "--wait",
    ]);

    fleet.signal(1, "-TERM");
    let status = fleet.children[2]
        .wait()
        .expect("the node's process should exit");
    assert!(
        status.success(),
        "expected exit code 0 after SIGTERM: {status}"
    );
    fleet.call_until_served(0, "after-exit");
}
