//! Tables that are printed to standard output with tabs between cells, and saved as CSV.

use std::{fs, io, path::Path};

use hdrhistogram::Histogram;

/// Creates an empty histogram of milliseconds up to one hour, with three significant digits.
///
/// # Panics
/// Never, as the bounds are valid.
pub fn milliseconds() -> Histogram<u64> {
    const HOUR_MS: u64 = 3_600_000;
    Histogram::new_with_max(HOUR_MS, 3).expect("the bounds are valid")
}

/// A table whose rows are printed as they are added.
#[derive(Clone, Debug)]
pub struct Table {
    name: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows and prints its header. `name` is the name of its file.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let header = columns.iter().map(|column| (*column).to_owned()).collect();
        println!("{}", columns.join("\t"));
        Self { name: name.to_owned(), rows: vec![header] }
    }

    /// Adds a row and prints it.
    pub fn row(&mut self, cells: &[String]) {
        println!("{}", cells.join("\t"));
        self.rows.push(cells.to_vec());
    }

    /// Returns the rows without the header.
    pub fn rows(&self) -> &[Vec<String>] {
        &self.rows[1..]
    }

    /// Writes the table to `{name}.csv` in `folder`, which is created if it doesn't exist.
    ///
    /// # Errors
    /// If the folder can't be created or the file can't be written.
    pub fn save(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let text: String = self.rows.iter().map(|row| row.join(",") + "\n").collect();
        fs::write(folder.join(format!("{}.csv", self.name)), text)
    }
}
