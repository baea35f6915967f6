use simulator_adapter::{WireSettings, convert_settings};
use tokio::task::LocalSet;

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep_until;

use super::*;
use crate::memory_budget::MemoryBudget;
use crate::socket_budget::SocketBudget;

/// The smallest valid settings.
pub(crate) fn settings() -> Settings {
    let settings: WireSettings = serde_json::from_str(
        r#"{"me":0,"balancers":1,"classes":[{"aim":100,"hardLimit":400,"semantics":"safe","points":1}],
            "contract":{"cold":1,"coldFrom":1,"drainGrace":1,"fall":1,"fallMultiple":1,"graceToAnswer":1},
            "discovery":"automatic","limits":{"attemptsCap":1},"tick":1}"#,
    )
    .expect("invalid settings");
    convert_settings(settings)
}

/// A driver without any endpoint.
pub(crate) fn driver() -> Rc<Driver> {
    let endpoints =
        EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
    let classes = vec!["look".to_owned()];
    let (names, discovery_commands) = (Names { classes, ..Names::default() }, mpsc::unbounded_channel().0);
    let process_state = Rc::new(ProcessState::open(None, "n0", &names));
    Driver::new(settings(), names, 1, endpoints, process_state, discovery_commands).expect("invalid settings")
}

/// A request of a client that waits for 400 ms.
fn short_request() -> UpstreamRequest {
    UpstreamRequest::empty(Duration::from_millis(400))
}

const SLACK: Duration = Duration::from_millis(5);

/// A request that the load-balancing core knows nothing of, so that only the watchdog ends it.
fn request_unknown_to_core(driver: &Rc<Driver>) -> ResponseTicket {
    let ticket = driver.submit(RequestMetadata::default(), short_request());
    driver.state.borrow_mut().balancer = Balancer::new(settings(), 1).expect("invalid settings");
    ticket
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("could not build the runtime"), test);
}

/// The metrics must agree with what clients received: each final response is counted once, under its own
/// outcome.
#[test]
fn every_final_response_is_counted_once() {
    run(async {
        let driver = driver();
        let (abandoned, waiting) = (
            driver.submit(RequestMetadata::default(), short_request()),
            driver.submit(RequestMetadata::default(), short_request()),
        );
        assert_eq!(driver.metrics_json()["concurrent"], 2);
        drop(abandoned);
        assert!(matches!(
            waiting.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Rejected(_), .. })
        ));
        assert!(matches!(
            request_unknown_to_core(&driver).final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        let expected = json!({"success": {"look": 0}, "overload": {"look": 1}, "error": {"look": 1},
            "dispatches": 0, "concurrent": 0, "targets": 0, "targets_disabled": 0});
        assert_eq!(driver.metrics_json(), expected);
    });
}

/// If the state of a request in the driver is lost, the request must fail at once, neither never nor only
/// at its deadline.
#[test]
fn request_without_state_fails_at_once() {
    run(async {
        let (driver, start) = (driver(), Instant::now());
        let ticket = driver.submit(RequestMetadata::default(), short_request());
        driver.state.borrow_mut().requests.clear();
        assert!(matches!(
            ticket.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// Memory would grow with every request if any outcome left its state in the map.
#[test]
fn every_outcome_removes_request_state() {
    run(async {
        let driver = driver();
        // Rejected by the load-balancing core, since there is no endpoint.
        let ticket = driver.submit(RequestMetadata::default(), short_request());
        assert!(matches!(
            ticket.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Rejected(_), .. })
        ));
        // One client disconnects at once, and one while its response is ready.
        drop(driver.submit(RequestMetadata::default(), short_request()));
        let answered = driver.submit(RequestMetadata::default(), short_request());
        sleep_until(Instant::now() + Duration::from_millis(399)).await;
        assert!(driver.state.borrow().requests.is_empty());
        drop(answered);
        assert_eq!(driver.metrics_json()["concurrent"], 0);
        // Here the watchdog ends the request before the load-balancing core does.
        assert!(matches!(
            request_unknown_to_core(&driver).final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        assert!(driver.state.borrow().requests.is_empty());
    });
}
