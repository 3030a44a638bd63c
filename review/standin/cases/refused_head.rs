//! A consumer's key is taken away. Its next lookup, a HEAD request on a kept channel, is refused; it
//! then sends an order with its new key on the same channel.

use std::{
    io::{self, Read},
    thread::sleep,
    time::{Duration, Instant},
};

use super::config;
use crate::{
    fleet::{self, Fleet, HOST, KEY, ZONES},
    http::Channel,
};

/// The second key of the same tenant.
const NEW_KEY: &str = "wsjnbanfqasnmgkcuyj8";
/// Time within which a configuration has to be in force (`config-apply-ms`), and some more.
const APPLY: Duration = Duration::from_millis(2_500);

pub fn run(record: &str) -> io::Result<bool> {
    let fleet = Fleet::start()?;
    let note = fleet.record.clone();
    let _replicas = [
        fleet.replica(21, ZONES[0], "order-desk", 15)?,
        fleet.replica(22, ZONES[1], "order-desk", 15)?,
    ];
    let with_keys = |version: u64, keys: &str| {
        config(version).replace(&format!("[\"{KEY}\"]"), &format!("[{keys}]"))
    };
    fleet.publish("op/config", &with_keys(1, &format!("\"{KEY}\",\"{NEW_KEY}\"")))?;
    let seeds = [fleet.control_address(1), fleet.control_address(2)];
    let daemons = [
        fleet.daemon(1, ZONES[0], fleet.store.address, &seeds)?,
        fleet.daemon(2, ZONES[1], fleet.store.address, &seeds)?,
    ];
    for daemon in &daemons {
        fleet.wait_ready(daemon)?;
    }
    let mut channel = fleet::open(&daemons[0])?;
    channel.io.set_read_timeout(Some(Duration::from_millis(1_500)))?;
    let mut foreign = 0;
    for number in 0..3 {
        let answer = send(&mut channel, "HEAD", "/status/1", &format!("head-{number}"), KEY)?;
        note.note(format!("consumer has for HEAD head-{number}: {answer:?}"));
        foreign += usize::from(!is_answer(&answer));
    }
    if !fleet::is_calm() {
        fleet.publish("op/config", &with_keys(2, &format!("\"{NEW_KEY}\"")))?;
        note.note("the operator takes the consumer's key away; the tenant has a new one");
    }
    sleep(APPLY);
    for (method, path, id, key) in [
        ("HEAD", "/status/1", "head-3", KEY),
        ("POST", "/order/1", "order-1", NEW_KEY),
        ("POST", "/order/1", "order-2", NEW_KEY),
    ] {
        let answer = send(&mut channel, method, path, id, key)?;
        note.note(format!("consumer has for {method} {id}: {answer:?}"));
        foreign += usize::from(!is_answer(&answer));
    }
    note.note(format!("MIXED: {foreign} requests got bytes that are no answer"));
    fleet.write_record(record)?;
    Ok(foreign > 0)
}

/// Sends a request and returns all bytes up to the end of the answer's head, or what has come by then.
///
/// The answer to HEAD has no body whatever its headers say; the body of another answer is read by its
/// length.
fn send(
    channel: &mut Channel,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
) -> io::Result<String> {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    channel.send(&format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Credential: {key}\r\n{length}\r\n"
    ))?;
    let (mut input, deadline) = (Vec::new(), Instant::now() + Duration::from_millis(1_500));
    let mut byte = [0];
    while !input.ends_with(b"\r\n\r\n") && Instant::now() < deadline {
        match channel.io.read(&mut byte) {
            Ok(1) => input.push(byte[0]),
            _ => break,
        }
    }
    let head = String::from_utf8_lossy(&input).into_owned();
    let lengths = head.lines().filter_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then(|| value.parse().ok()).flatten()
    });
    let length: usize = lengths.last().unwrap_or(0);
    if method != "HEAD" {
        for _ in 0..length {
            if channel.io.read(&mut byte)? == 0 {
                break;
            }
            input.push(byte[0]);
        }
    }
    Ok(String::from_utf8_lossy(&input).into_owned())
}

fn is_answer(text: &str) -> bool {
    text.starts_with("HTTP/1.1 ")
}
