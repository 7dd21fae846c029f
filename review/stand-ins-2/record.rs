//! The record of a run, and the violations of rules that it shows.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Record { start: Instant::now(), file, violations: Mutex::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    pub fn violation(&self, text: &str) {
        self.line(&format!("BROKEN {text}"));
        self.violations.lock().unwrap().push(text.to_owned());
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }
}
