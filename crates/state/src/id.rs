//! Identifiers as distinct types, so that one kind cannot be passed as another.

use {
    serde::{
        de::{self, SeqAccess, Visitor},
        ser::SerializeTuple,
        Deserialize, Deserializer, Serialize, Serializer,
    },
    std::{fmt, str::FromStr, sync::Arc},
    ulid::Ulid,
};

/// Maximum length of a name, in bytes. Names become parts of store keys, metric
/// labels and log fields, whose size must stay bounded.
pub const NAME_LIMIT_BYTES: usize = 64;

/// An identifier that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty, too long, or holds a character that is not allowed.
    #[error("`{0}` is not a name: use 1 to 64 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit")]
    Name(Arc<str>),
    /// The text is not a job identifier.
    #[error("`{0}` is not a job id: expected 26 characters of Crockford base 32")]
    Job(Arc<str>),
    /// The text is not a task identifier.
    #[error("`{0}` is not a task id: expected JOB/INDEX")]
    Task(Arc<str>),
}

/// Truncates untrusted input before it is quoted in an error.
fn excerpt(text: &str) -> Arc<str> {
    text.chars()
        .take(NAME_LIMIT_BYTES)
        .collect::<String>()
        .into()
}

fn check_name(text: &str) -> Result<(), Error> {
    let valid = (1..=NAME_LIMIT_BYTES).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit())
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
    if valid {
        Ok(())
    } else {
        Err(Error::Name(excerpt(text)))
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from `text` after validating it.
            ///
            /// # Errors
            ///
            /// Returns [`Error::Name`] if `text` is not a valid name.
            pub fn new(text: impl AsRef<str>) -> Result<Self, Error> {
                check_name(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// Returns the name as text, for keys and labels.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(NameVisitor).map(Self)
            }
        }
    )*};
}

/// Deserializes a name without an intermediate `String`.
struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name of 1 to 64 characters")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Arc<str>, E> {
        check_name(text).map_err(E::custom)?;
        Ok(Arc::from(text))
    }
}

names! {
    /// An entry process.
    Entry;
    /// An endpoint that serves requests, and the agent on the same instance.
    Endpoint;
    /// A worker instance that runs tasks.
    Worker;
    /// A data centre.
    DataCentre;
    /// A region, whose data centres share entries, slices and workers.
    Region;
    /// A rack within a data centre.
    Rack;
    /// A team with quotas and shares.
    Team;
    /// A service that operators declare in a scheduling file.
    Service;
    /// A caller's customer, whose orders run in sequence.
    Customer;
    /// An idempotency key, unique for one customer and service.
    Key;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($type:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $type);

        impl $name {
            /// Returns this number plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// The number of an attempt at a task, from 1; each placement is a new one.
    Attempt(u32);
    /// The number of a term of ownership of a slice; a higher epoch fences off
    /// lower ones.
    Epoch(u64);
    /// The number of one run of a process. It distinguishes a restart from a
    /// loss of contact.
    Incarnation(u64);
    /// A number that matches an answer to its request.
    Nonce(u64);
    /// A revision of the configuration.
    Revision(u64);
    /// A partition of the jobs and orders, owned by one entry at a time.
    Slice(u16);
    /// A request, unique within the entry that received it.
    Request(u64);
    /// The number of a checkpoint of one task, increasing with each.
    Checkpoint(u64);
}

/// The identifier of a job or order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Job(pub Ulid);

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Ulid::from_string(text)
            .map(Self)
            .map_err(|_| Error::Job(excerpt(text)))
    }
}

impl Serialize for Job {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u128(self.0 .0)
        }
    }
}

impl<'de> Deserialize<'de> for Job {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(JobVisitor)
        } else {
            deserializer.deserialize_u128(JobVisitor)
        }
    }
}

/// Deserializes a job identifier from text or from its 128-bit number.
struct JobVisitor;

impl Visitor<'_> for JobVisitor {
    type Value = Job;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a job id")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Job, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_u128<E: de::Error>(self, number: u128) -> Result<Job, E> {
        Ok(Job(Ulid(number)))
    }
}

/// The identifier of one task of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// The task's index in its job, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for Task {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Task(excerpt(text));
        let (job, index) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            job: job.parse().map_err(|_| error())?,
            index: index.parse().map_err(|_| error())?,
        })
    }
}

impl Serialize for Task {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.job)?;
        tuple.serialize_element(&self.index)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Task {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(TaskVisitor)
        } else {
            deserializer.deserialize_tuple(2, TaskVisitor)
        }
    }
}

/// Deserializes a task identifier from `JOB/INDEX` or from a pair.
struct TaskVisitor;

impl<'de> Visitor<'de> for TaskVisitor {
    type Value = Task;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task id")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Task, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Task, A::Error> {
        let missing = |n| de::Error::invalid_length(n, &"a job and an index");
        Ok(Task {
            job: seq.next_element()?.ok_or_else(|| missing(0))?,
            index: seq.next_element()?.ok_or_else(|| missing(1))?,
        })
    }
}
