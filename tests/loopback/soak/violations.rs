//! The rule violations that a run has detected.

use std::sync::Mutex;

/// Maximum number of violations that are kept. The first ones are sufficient to find the cause.
const MAX_VIOLATIONS: usize = 20;

/// Descriptions of the violations, one line each.
#[derive(Default)]
pub struct Violations(Mutex<Vec<String>>);

impl Violations {
    pub fn add(&self, violation: String) {
        let mut violations = self.0.lock().unwrap();
        if violations.len() < MAX_VIOLATIONS {
            violations.push(violation);
        }
    }

    pub fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().unwrap())
    }
}
