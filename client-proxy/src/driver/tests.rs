use simulator_adapter::{WireSettings, convert_settings};
use tokio::task::LocalSet;

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep_until;

use super::*;
use crate::memory_budget::MemoryBudget;
use crate::socket_budget::SocketBudget;

/// The least that there have to be.
pub(crate) fn settings() -> Settings {
    let settings: WireSettings = serde_json::from_str(
        r#"{"me":0,"balancers":1,"classes":[{"aim":100,"hardLimit":400,"semantics":"safe","points":1}],
            "contract":{"cold":1,"coldFrom":1,"drainGrace":1,"fall":1,"fallMultiple":1,"graceToAnswer":1},
            "discovery":"automatic","limits":{"attemptsCap":1},"tick":1}"#,
    )
    .expect("all that is required");
    convert_settings(settings)
}

/// One that knows no endpoint.
pub(crate) fn driver() -> Rc<Driver> {
    let endpoints =
        EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
    let classes = vec!["look".to_owned()];
    let (names, asks) = (Names { classes, ..Names::default() }, mpsc::unbounded_channel().0);
    let handover = Rc::new(ProcessState::open(None, "n0", &names));
    Driver::new(settings(), names, 1, endpoints, handover, asks).expect("usable")
}

/// Of a client that waits for 400 ms.
fn order() -> UpstreamRequest {
    UpstreamRequest::empty(Duration::from_millis(400))
}

const SLACK: Duration = Duration::from_millis(5);

/// One that the decisions know nothing of, so that only the watchdog ends it.
fn forgotten(driver: &Rc<Driver>) -> ResponseTicket {
    let ticket = driver.submit(RequestMetadata::default(), order());
    driver.state.borrow_mut().balancer = Balancer::new(settings(), 1).expect("usable");
    ticket
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against figures that differ from what clients saw: each final answer is counted once, as what it
/// was.
#[test]
fn every_final_answer_is_counted_once() {
    run(async {
        let driver = driver();
        let (left, waits) = (
            driver.submit(RequestMetadata::default(), order()),
            driver.submit(RequestMetadata::default(), order()),
        );
        assert_eq!(driver.metrics_json()["concurrent"], 2);
        drop(left);
        assert!(matches!(
            waits.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Rejected(_), .. })
        ));
        assert!(matches!(
            forgotten(&driver).final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        let wanted = json!({"success": {"look": 0}, "overload": {"look": 1}, "error": {"look": 1},
            "dispatches": 0, "concurrent": 0, "targets": 0, "targets_disabled": 0});
        assert_eq!(driver.metrics_json(), wanted);
    });
}

/// Guards against a request that has no answer, or one only when its time is up, where the decisions' side of
/// it has gone.
#[test]
fn a_request_whose_job_is_gone_fails_at_once() {
    run(async {
        let (driver, start) = (driver(), Instant::now());
        let ticket = driver.submit(RequestMetadata::default(), order());
        driver.state.borrow_mut().requests.clear();
        assert!(matches!(
            ticket.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// Guards against memory that grows with every request: whatever the ending, nothing is kept.
#[test]
fn every_ending_empties_the_map() {
    run(async {
        let driver = driver();
        // Refused by the decisions: there is no endpoint.
        let ticket = driver.submit(RequestMetadata::default(), order());
        assert!(matches!(
            ticket.final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Rejected(_), .. })
        ));
        // The client leaves, and one while its answer lies ready.
        drop(driver.submit(RequestMetadata::default(), order()));
        let late = driver.submit(RequestMetadata::default(), order());
        sleep_until(Instant::now() + Duration::from_millis(399)).await;
        assert!(driver.state.borrow().requests.is_empty());
        drop(late);
        assert_eq!(driver.metrics_json()["concurrent"], 0);
        // The watchdog comes before the decisions.
        assert!(matches!(
            forgotten(&driver).final_response(SLACK).await,
            Ok(FinalResponse { outcome: FinalOutcome::Failed, .. })
        ));
        assert!(driver.state.borrow().requests.is_empty());
    });
}
