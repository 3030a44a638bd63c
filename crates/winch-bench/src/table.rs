//! Tables on standard output and as CSV.

use std::{fs, io, path::Path};

use hdrhistogram::Histogram;

/// An empty histogram of milliseconds up to an hour.
///
/// # Panics
/// Never: the bounds are valid.
pub fn milliseconds() -> Histogram<u64> {
    const HOUR: u64 = 3_600_000;
    Histogram::new_with_max(HOUR, 3).expect("the bounds are valid")
}

/// A table that grows row by row.
#[derive(Clone, Debug)]
pub struct Table {
    name: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table with a heading.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let head = columns.iter().map(|column| (*column).to_owned()).collect();
        println!("{}", columns.join("\t"));
        Self { name: name.to_owned(), rows: vec![head] }
    }

    /// Adds and prints a row.
    pub fn row(&mut self, cells: &[String]) {
        println!("{}", cells.join("\t"));
        self.rows.push(cells.to_vec());
    }

    /// The rows without the heading.
    pub fn rows(&self) -> &[Vec<String>] {
        &self.rows[1..]
    }

    /// Writes the table to `folder` as CSV.
    ///
    /// # Errors
    /// What the system said.
    pub fn save(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let text: String = self.rows.iter().map(|row| row.join(",") + "\n").collect();
        fs::write(folder.join(format!("{}.csv", self.name)), text)
    }
}
