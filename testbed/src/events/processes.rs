//! Samples the resource usage of the client proxies and checks their limits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Environment;
use crate::fleet::Proxy;
use crate::ledger::Rule;

/// Samples the resource usage of the processes until cancelled.
pub async fn sample_usage(proxies: Vec<Rc<Proxy>>, every: Duration) {
    loop {
        proxies.iter().for_each(|proxy| proxy.sample_usage());
        sleep(every).await;
    }
}

/// Checks the rules on processes: resource limits, and no unexpected exit.
pub fn check_processes(environment: &Environment, cores: f64, memory_mb: u64, sockets: u64, elapsed_s: f64) {
    let ledger: &RefCell<_> = &environment.play.ledger;
    let now = environment.play.now();
    for (n, (proxy, beside)) in environment.proxies.iter().zip(&environment.beside).enumerate() {
        let (usage, interrupted) = (proxy.usage(), beside.had_fault(now, now));
        let violation = |rule, how: String| ledger.borrow_mut().record_violation(rule, now, &how);
        if proxy.has_exited() && !interrupted {
            violation(
                Rule::Crash,
                format!("client proxy {n} exited unexpectedly: {}", proxy.last_log_lines()),
            );
        }
        if usage.memory_mb > memory_mb as f64 {
            violation(
                Rule::Limits,
                format!("client proxy {n} exceeded its memory limit: {:.1} MB", usage.memory_mb),
            );
        }
        if usage.descriptors > sockets as usize {
            violation(
                Rule::Limits,
                format!("client proxy {n} exceeded its limit of open descriptors: {}", usage.descriptors),
            );
        }
        if usage.cpu_s > cores * elapsed_s {
            violation(Rule::Limits, format!("client proxy {n} exceeded its CPU limit: {:.2} s", usage.cpu_s));
        }
    }
}
