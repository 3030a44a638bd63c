//! Large facts and whole sets, over streams between daemons.

use std::{collections::HashMap, net::SocketAddr};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::Framed;
use winch_config::set::{Set, Stored};
use winch_gossip::{facts::Fact, member::State};
use winch_wire::{
    codec::{Codec, Key},
    message::{Body, Envelope, Facts, KeyVersions},
};
use xtra::Address;

use super::peers::{FullFacts, Link, Members};
use crate::{counter, prelude::*};

/// Longest time for one exchange.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn holdings(fact: &Fact) -> KeyVersions {
    let mut facts = winch_gossip::facts::Facts::default();
    facts.apply(Fact { ephemeral: false, ..fact.clone() }, Duration::ZERO);
    facts.key_versions()
}

pub(super) async fn fetch(from: SocketAddr, envelope: Envelope, key: Key) -> Option<Fact> {
    let stream = TcpStream::connect(from).await.ok()?;
    let mut framed = Framed::new(stream, Codec(key));
    framed.send(envelope).await.ok()?;
    let answer = framed.next().await?.ok()?;
    match answer.body {
        Some(Body::Push(facts)) => facts.facts.into_iter().next().map(Fact::from),
        _ => None,
    }
}

/// Key under which a daemon tells its whole set; never pushed.
const SET_KEY: &str = "set";

/// Answers peers that fetch large facts, one at a time.
pub(super) async fn serve(fleet: &Fleet, listener: &TcpListener, link: Address<Link>, key: Key) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let answered = answer(fleet, stream, &link, key.clone());
        let _ = timeout(FETCH_TIMEOUT, answered).await;
    }
}

/// The whole set as a fact.
fn whole_set(fleet: &Fleet) -> Fact {
    let view = fleet.view.load();
    let body = serde_json::to_vec(&Stored::from(&view.set)).expect("a set is plain data");
    Fact::new(SET_KEY, view.revision(), body)
}

/// Fetches the whole set from some peers in every data centre, and returns the newest.
pub async fn fetch_newest_set(fleet: &Fleet) -> Option<Set> {
    const PER_DC: usize = 2;
    let link = fleet.link()?;
    let members = link.send(Members).await.ok()?;
    let mut asked: HashMap<Name, usize> = HashMap::new();
    let mut newest: Option<Set> = None;
    let key = Key::derive(fleet.settings.fleet_key.expose().as_bytes());
    let wanted = holdings(&Fact::new(SET_KEY, 0, ""));
    for member in members.into_iter().filter(|member| member.state <= State::Suspect) {
        let count = asked.entry(member.dc.clone()).or_default();
        if *count >= PER_DC {
            continue;
        }
        *count += 1;
        let body = Some(Body::Want(wanted.clone()));
        let envelope = Envelope { from: fleet.settings.name.to_string(), incarnation: 0, body };
        let fetched = timeout(FETCH_TIMEOUT, fetch(member.address, envelope, key.clone())).await;
        let stored = fetched.ok().flatten().and_then(|fact| parse_set(&fact));
        let newer = |set: &Set| newest.as_ref().is_none_or(|n| n.revision() < set.revision());
        newest = stored.filter(newer).or(newest);
    }
    newest.filter(|set| set.revision() > 0)
}

fn parse_set(fact: &Fact) -> Option<Set> {
    serde_json::from_slice::<Stored>(&fact.body).ok().map(Set::from)
}

async fn answer(fleet: &Fleet, stream: TcpStream, link: &Address<Link>, key: Key) -> Option<()> {
    let mut framed = Framed::new(stream, Codec(key));
    let asked = match framed.next().await? {
        Ok(envelope) => envelope,
        Err(error) => {
            counter::frame_refused(error.reason());
            return None;
        }
    };
    let Some(Body::Want(wanted)) = asked.body else {
        return None;
    };
    let mut answer = link.send(FullFacts(wanted.clone())).await.ok()?;
    if wanted.keys == holdings(&Fact::new(SET_KEY, 0, "")).keys {
        let mut facts = winch_gossip::facts::Facts::default();
        facts.apply(whole_set(fleet), Duration::ZERO);
        answer.body = Some(Body::Push(Facts { facts: facts.export_full(&wanted, Duration::ZERO) }));
    }
    framed.send(answer).await.ok()
}
