//! Why a connection could not be opened, and whose failure that is.

use std::io;

use winch_http::client::Error;

/// What kept a connection from being opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing came back in time.
    TimedOut,
    /// The address takes no connections.
    Refused,
    /// There is no path to the address, or it is none that can be connected to.
    Unreachable,
    /// An error of this daemon's own host, such as no free descriptor or port: it says nothing of
    /// the other side.
    Host,
}

impl Failure {
    /// Classifies the error of an opening. What is not known to come from the other side or from the
    /// path to it counts as the host's own.
    pub fn of(error: &io::Error) -> Self {
        use io::ErrorKind as Kind;
        match error.kind() {
            Kind::TimedOut => Self::TimedOut,
            Kind::ConnectionRefused | Kind::ConnectionReset | Kind::ConnectionAborted => {
                Self::Refused
            }
            Kind::HostUnreachable
            | Kind::NetworkUnreachable
            | Kind::PermissionDenied
            | Kind::InvalidInput => Self::Unreachable,
            _ => Self::Host,
        }
    }

    /// Why an exchange found no connection; `None` if it had one.
    pub fn of_exchange(error: &Error) -> Option<Self> {
        match error {
            Error::Connect { source } => Some(Self::of(source)),
            _ => None,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TimedOut => "timed_out",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Host => "host_error",
        }
    }
}
