//! Transfer of large facts and of complete configuration sets over streams between daemons.
//!
//! The client sends one `Want` message, the server replies with one `Push`.

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

/// Timeout of one exchange of a request and its reply.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Content of the `Want` message for one fact, ephemeral or not.
pub(super) fn request_for(fact: &Fact) -> KeyVersions {
    let mut facts = winch_gossip::facts::Facts::default();
    facts.apply(Fact { ephemeral: false, ..fact.clone() }, Duration::ZERO);
    facts.key_versions()
}

/// Sends the `Want` message in `envelope` and returns the fact of the reply; `None` if the peer
/// fails or has no such fact.
pub(super) async fn fetch(from: SocketAddr, envelope: Envelope, key: Key) -> Option<Fact> {
    let stream = TcpStream::connect(from).await.ok()?;
    let mut framed = Framed::new(stream, Codec(key));
    framed.send(envelope).await.ok()?;
    let reply = framed.next().await?.ok()?;
    match reply.body {
        Some(Body::Push(facts)) => facts.facts.into_iter().next().map(Fact::from),
        _ => None,
    }
}

/// Key of the fact that holds the complete configuration set; it is only fetched, never pushed.
const SET_KEY: &str = "set";

/// Serves peers that fetch facts, one connection at a time.
pub(super) async fn serve(fleet: &Fleet, listener: &TcpListener, link: Address<Link>, key: Key) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let reply = respond(fleet, stream, &link, key.clone());
        let _ = timeout(FETCH_TIMEOUT, reply).await;
    }
}

/// The complete configuration set as a fact.
fn config_set_fact(fleet: &Fleet) -> Fact {
    let snapshot = fleet.snapshot.load();
    let body = serde_json::to_vec(&Stored::from(&snapshot.set)).expect("a set serialises to JSON");
    Fact::new(SET_KEY, snapshot.revision(), body)
}

/// Fetches the configuration sets of up to two peers in each data centre and returns the newest.
///
/// `None` if none of these peers has a configuration or can be reached.
pub async fn fetch_newest_set(fleet: &Fleet) -> Option<Set> {
    const PEERS_PER_DC: usize = 2;
    let link = fleet.link()?;
    let members = link.send(Members).await.ok()?;
    let mut asked_per_dc: HashMap<Name, usize> = HashMap::new();
    let mut newest: Option<Set> = None;
    let key = Key::derive(fleet.settings.fleet_key.expose().as_bytes());
    let wanted = request_for(&Fact::new(SET_KEY, 0, ""));
    for member in members.into_iter().filter(|member| member.state <= State::Suspect) {
        let count = asked_per_dc.entry(member.dc.clone()).or_default();
        if *count >= PEERS_PER_DC {
            continue;
        }
        *count += 1;
        let body = Some(Body::Want(wanted.clone()));
        let envelope = Envelope { from: fleet.settings.name.to_string(), incarnation: 0, body };
        let fetched = timeout(FETCH_TIMEOUT, fetch(member.address, envelope, key.clone())).await;
        let set = fetched.ok().flatten().and_then(|fact| parse_set(&fact));
        let is_newer =
            |set: &Set| newest.as_ref().is_none_or(|newest| newest.revision() < set.revision());
        newest = set.filter(is_newer).or(newest);
    }
    newest.filter(|set| set.revision() > 0)
}

fn parse_set(fact: &Fact) -> Option<Set> {
    serde_json::from_slice::<Stored>(&fact.body).ok().map(Set::from)
}

/// Reads one `Want` message and replies to it; `None` if the message is refused or the connection
/// fails.
async fn respond(fleet: &Fleet, stream: TcpStream, link: &Address<Link>, key: Key) -> Option<()> {
    let mut framed = Framed::new(stream, Codec(key));
    let request = match framed.next().await? {
        Ok(envelope) => envelope,
        Err(error) => {
            counter::frame_refused(error.reason());
            return None;
        }
    };
    let Some(Body::Want(wanted)) = request.body else {
        return None;
    };
    let mut reply = link.send(FullFacts(wanted.clone())).await.ok()?;
    if wanted.keys == request_for(&Fact::new(SET_KEY, 0, "")).keys {
        let mut facts = winch_gossip::facts::Facts::default();
        facts.apply(config_set_fact(fleet), Duration::ZERO);
        reply.body = Some(Body::Push(Facts { facts: facts.export_full(&wanted, Duration::ZERO) }));
    }
    framed.send(reply).await.ok()
}
