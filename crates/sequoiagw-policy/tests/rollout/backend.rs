//! Backend servers of the fleet: how long their runs take and which of them fail.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Routes and their share of the requests.
pub const ROUTES: [(&str, f64); 3] = [("order", 0.5), ("lookup", 0.35), ("report", 0.15)];
/// Factor of the run times of a slow run.
const SLOW_FACTOR: f64 = 8.0;
/// Share of the bad runs at a bad backend server.
const BAD_SHARE: f64 = 0.5;
/// Share of failed runs of every version.
const USUAL_FAILURES: f64 = 0.01;
/// Factor of the run times during the warm-up.
const WARM_UP_FACTOR: f64 = 4.0;

/// Time over which the load of a backend server is measured.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// What is wrong with a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    Failures,
    Slow,
    /// Failures above this share of the usual load.
    AboveLoad(f64),
    OnRoute(&'static str),
    /// Failures from this time after the start.
    After(Duration),
}

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    pub fault: Fault,
    pub start: Instant,
    /// End of the warm-up.
    pub warm_up_end: Instant,
    /// Usual number of requests a second.
    pub usual_load: f64,
    recent: VecDeque<Instant>,
}

impl Backend {
    pub fn new(fault: Fault, start: Instant, warm_up: Duration, usual_load: f64) -> Self {
        Self {
            fault,
            start,
            warm_up_end: start + warm_up,
            usual_load,
            recent: VecDeque::new(),
        }
    }

    /// Runs a request; returns the run time and whether it failed.
    pub fn run(
        &mut self,
        route: &str,
        trouble: f64,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> (Duration, bool) {
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|start| *start + LOAD_TIME < now)
        {
            self.recent.pop_front();
        }
        let mut run_time = Duration::from_millis(rng.random_range(20..60));
        if now < self.warm_up_end {
            run_time = run_time.mul_f64(WARM_UP_FACTOR);
        }
        let failed = rng.random_bool(USUAL_FAILURES.max(trouble));
        if !rng.random_bool(BAD_SHARE) {
            return (run_time, failed);
        }
        match self.fault {
            Fault::None => (run_time, failed),
            Fault::Slow => (run_time.mul_f64(SLOW_FACTOR), failed),
            Fault::Failures => (run_time, true),
            Fault::OnRoute(bad) => (run_time, failed || bad == route),
            Fault::After(time) => (run_time, failed || now >= self.start + time),
            Fault::AboveLoad(share) => {
                let load = f64::from(u32::try_from(self.recent.len()).expect("a small number"));
                (
                    run_time,
                    failed || load > share * self.usual_load * LOAD_TIME.as_secs_f64(),
                )
            }
        }
    }
}

/// Draws the route of a request.
pub fn draw_route(rng: &mut ChaCha8Rng) -> &'static str {
    let mut point = rng.random_range(0.0..1.0);
    for (route, share) in ROUTES {
        if point < share {
            return route;
        }
        point -= share;
    }
    ROUTES[0].0
}
