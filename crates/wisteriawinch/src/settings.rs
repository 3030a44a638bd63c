//! Settings of `serve`, from flags and environment variables.
//!
//! A flag takes precedence over its variable. All faults are reported together.

use std::{fmt, net::SocketAddr};

use gumdrop::Options;

use crate::prelude::*;

/// Flags of `serve`. Each may also be given as an environment variable: `WINCH_` and the
/// flag's name in capitals.
#[derive(Debug, Default, Options)]
pub struct Flags {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// See [`Settings::name`].
    #[options(help = "name of this daemon [WINCH_NAME]", meta = "NAME")]
    pub name: Option<String>,
    /// See [`Settings::dc`].
    #[options(help = "data centre of this VM [WINCH_DC]", meta = "NAME")]
    pub dc: Option<String>,
    /// See [`Settings::listen`].
    #[options(help = "address for callers and operators [WINCH_LISTEN]", meta = "IP:PORT")]
    pub listen: Option<String>,
    /// See [`Settings::peer`].
    #[options(help = "address for other daemons [WINCH_PEER]", meta = "IP:PORT")]
    pub peer: Option<String>,
    /// See [`Settings::platform`].
    #[options(help = "base URL of the platform [WINCH_PLATFORM]", meta = "URL")]
    pub platform: Option<String>,
    /// See [`Settings::fleet_key`].
    #[options(help = "secret shared by all daemons [WINCH_FLEET_KEY]", meta = "SECRET")]
    pub fleet_key: Option<String>,
    /// See [`Settings::operator_token`].
    #[options(help = "token of operators [WINCH_OPERATOR_TOKEN]", meta = "SECRET")]
    pub operator_token: Option<String>,
    /// See [`Settings::seeds`].
    #[options(
        help = "peer addresses to contact first, separated by commas [WINCH_SEEDS]",
        meta = "LIST"
    )]
    pub seeds: Option<String>,
    /// See [`Settings::max_body`].
    #[options(help = "largest request body in bytes [WINCH_MAX_BODY]", meta = "BYTES")]
    pub max_body: Option<String>,
    /// See [`Settings::stall`].
    #[options(help = "fixed, adaptive or hedged [WINCH_STALL]", meta = "MODE")]
    pub stall: Option<String>,
    /// See [`Settings::log_level`].
    #[options(help = "error, warn, info or debug [WINCH_LOG_LEVEL]", meta = "LEVEL")]
    pub log_level: Option<String>,
    /// Prints the settings and exits.
    #[options(help = "print the settings without secrets and exit", no_short)]
    pub print_settings: bool,
}

/// A secret whose `Debug` output hides its value.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Returns the secret's value.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` equals the secret. The time depends only on the length of
    /// `text`.
    pub fn matches(&self, text: &str) -> bool {
        let pairs = self.0.bytes().zip(text.bytes());
        self.0.len() == text.len() && pairs.fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(not shown)")
    }
}

/// How stalls of engines are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// An attempt without a token for one second is replaced.
    Fixed,
    /// An attempt that is idle for unusually long is replaced. Costs less work than `Hedged`.
    Adaptive,
    /// A second attempt is started beside one that is idle for unusually long. Resumes
    /// sooner than `Adaptive`.
    Hedged,
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this daemon, unique in the fleet.
    pub name: Name,
    /// Data centre of this daemon's VM.
    pub dc: Name,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Secret shared by all daemons.
    pub fleet_key: Secret,
    /// Token that operators present.
    pub operator_token: Secret,
    /// Addresses of peers to contact while no peer is alive or suspected, also if the
    /// platform's list cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Largest request body in bytes.
    pub max_body: u64,
    /// How stalls are handled.
    pub stall: Stall,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Default of [`Settings::max_body`], 4 MiB, as the text that the flag would have.
const DEFAULT_MAX_BODY_BYTES: &str = "4194304";

/// Reads settings from flags or environment variables, and collects their faults.
///
/// The `name` of a setting is that of its variable without `WINCH_`.
struct Resolver<'a, E: Fn(&str) -> Option<String>> {
    env: &'a E,
    faults: Vec<String>,
}

impl<E: Fn(&str) -> Option<String>> Resolver<'_, E> {
    fn text(&self, flag: &Option<String>, name: &str) -> Option<String> {
        flag.clone().or_else(|| (self.env)(&format!("WINCH_{name}")))
    }

    fn required(&mut self, flag: &Option<String>, name: &str) -> String {
        self.text(flag, name).filter(|text| !text.is_empty()).unwrap_or_else(|| {
            let dashed = name.to_lowercase().replace('_', "-");
            self.faults.push(format!("--{dashed} or WINCH_{name} is required"));
            String::new()
        })
    }

    fn address(&mut self, flag: &Option<String>, name: &str) -> SocketAddr {
        let text = self.required(flag, name);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.faults
                    .push(format!("{name}: `{text}` is not an address such as 127.0.0.1:80"));
            }
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn addresses(&mut self, flag: &Option<String>, name: &str) -> Vec<SocketAddr> {
        let text = self.text(flag, name).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self
                    .faults
                    .push(format!("{name}: `{part}` is not an address such as 127.0.0.1:80")),
            }
        }
        addresses
    }

    fn secret(&mut self, flag: &Option<String>, name: &str) -> Secret {
        let text = self.required(flag, name);
        if !text.is_empty() && text.len() < MIN_SECRET_BYTES {
            self.faults.push(format!("{name}: a secret needs at least {MIN_SECRET_BYTES} bytes"));
        }
        Secret(text.into())
    }

    fn choice<T: Copy>(
        &mut self,
        flag: &Option<String>,
        name: &str,
        default: &str,
        choices: &[(&str, T)],
    ) -> T {
        let text = self.text(flag, name).unwrap_or_else(|| default.to_owned());
        let found = choices.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            self.faults.push(format!("{name}: `{text}` is not one of {}", words.join(", ")));
        }
        found.unwrap_or(&choices[0]).1
    }

    fn name(&mut self, flag: &Option<String>, name: &str) -> Name {
        let text = self.required(flag, name);
        if text.contains(['.', '/', ' ']) {
            self.faults.push(format!("{name}: `{text}` must not contain dots, slashes or spaces"));
        }
        text.into()
    }
}

impl Settings {
    /// Resolves flags and environment variables.
    ///
    /// # Errors
    /// Returns one message for each fault, which names the setting.
    pub fn resolve<E>(flags: &Flags, env: E) -> Result<Self, Vec<String>>
    where
        E: Fn(&str) -> Option<String>,
    {
        let mut resolver = Resolver { env: &env, faults: Vec::new() };
        let stalls =
            [("hedged", Stall::Hedged), ("adaptive", Stall::Adaptive), ("fixed", Stall::Fixed)];
        let levels = [
            ("info", log::LevelFilter::Info),
            ("error", log::LevelFilter::Error),
            ("warn", log::LevelFilter::Warn),
            ("debug", log::LevelFilter::Debug),
        ];
        let max_body = resolver.text(&flags.max_body, "MAX_BODY");
        let max_body = max_body.unwrap_or_else(|| DEFAULT_MAX_BODY_BYTES.to_owned());
        let settings = Self {
            name: resolver.name(&flags.name, "NAME"),
            dc: resolver.name(&flags.dc, "DC"),
            listen: resolver.address(&flags.listen, "LISTEN"),
            peer: resolver.address(&flags.peer, "PEER"),
            platform: resolver.required(&flags.platform, "PLATFORM"),
            fleet_key: resolver.secret(&flags.fleet_key, "FLEET_KEY"),
            operator_token: resolver.secret(&flags.operator_token, "OPERATOR_TOKEN"),
            seeds: resolver.addresses(&flags.seeds, "SEEDS"),
            max_body: max_body.parse().unwrap_or_else(|_| {
                resolver.faults.push(format!("MAX_BODY: `{max_body}` is not a number of bytes"));
                0
            }),
            stall: resolver.choice(&flags.stall, "STALL", "hedged", &stalls),
            log_level: resolver.choice(&flags.log_level, "LOG_LEVEL", "info", &levels),
        };
        if resolver.faults.is_empty() { Ok(settings) } else { Err(resolver.faults) }
    }
}
