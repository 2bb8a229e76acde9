//! What a run has found.

use std::sync::Mutex;

/// Most violations that are kept: the first ones tell the cause.
const MAX_VIOLATIONS: usize = 20;

/// Broken rules, each in one line.
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
