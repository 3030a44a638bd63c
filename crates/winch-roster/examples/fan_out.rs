//! One daemon reads the list and passes it on: prints what each of two followers receives.

use std::collections::BTreeSet;

use prost::Message;
use winch_roster::{
    cursor::Cursor,
    frame,
    interest::Interest,
    position::Position,
    replica::Replica,
    roster::{Change, Roster},
};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut roster = Roster::default();
    for number in 0..3_000_u32 {
        let [_, _, high, low] = number.to_be_bytes();
        let dc = ["north", "south", "west"][number as usize % 3];
        let replica = Replica {
            id: format!("i-{number:08x}").into(),
            service: "model".into(),
            address: ([10, dc.len() as u8, high, low], 8_080).into(),
            dc: dc.into(),
            version: "v1".into(),
            slots: 32,
            draining: false,
            started_at_ms: None,
        };
        roster.apply(Change::Put(replica.into()));
    }
    roster.confirm(Position { era: 0, version: 1 }, true);
    let mut inner = Cursor::new(Interest::whole("north".into()));
    let mut leaf = Cursor::new(Interest::subset("daemon-7", "south".into()));
    for step in ["first update", "a replica left"] {
        for (name, cursor) in [("whole list", &mut inner), ("subset", &mut leaf)] {
            let frame = frame::Delta::from(&cursor.advance(&roster, &BTreeSet::new()));
            let bytes = frame.encoded_len();
            let delta = frame.decode_delta()?;
            println!(
                "{step}, {name}: {bytes} bytes, {} put, {} removed",
                delta.put.len(),
                delta.removed.len()
            );
        }
        roster.apply(Change::Removed("i-00000001".into()));
    }
    Ok(())
}
