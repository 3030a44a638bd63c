//! Names from outside in log lines.

use std::{
    io::{self, Write},
    sync::mpsc::{Sender, channel},
};

use winch_event::{Event, emit, output::Queue};

/// An output that hands on what is written to it.
struct Output(Sender<Vec<u8>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Names, and how they stand in a line.
const NAMES: [(&str, &str); 6] = [
    ("m x", "m x"),
    ("m\r\n{\"event\":1}", "m\\r\\n{\\\"event\\\":1}"),
    ("m\"x", "m\\\"x"),
    ("m\\x", "m\\\\x"),
    ("m\u{1}", "m\\u0001"),
    ("\u{e9}", "\u{e9}"),
];

// Guards against a name that ends its line, or forges another one.
#[test]
fn odd_values_escaped() {
    let (sender, written) = channel();
    let queue = Queue::new(Output(sender));
    logforth::starter_log::builder().dispatch(|d| d.append(queue)).apply();
    for (name, escaped) in NAMES {
        emit!(Event::ReplicaEntryInvalid, replica = name);
        let mut line = written.recv().expect("a line");
        while !line.ends_with(b"\n") {
            line.extend(written.recv().expect("its rest"));
        }
        let line = String::from_utf8(line).expect("UTF-8");
        assert_eq!(line.lines().count(), 1, "{line}");
        assert!(line.contains(&format!("\"replica\":\"{escaped}\"")), "{line}");
    }
}
