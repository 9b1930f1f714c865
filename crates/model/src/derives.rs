//! Macros that define value types, so that all types of one sort derive the same traits.

/// Derives the traits of plain data: `Debug`, `Clone`, `PartialEq` and serde.
#[macro_export]
macro_rules! plain_value {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}

/// Derives the traits of small enumerations: those of plain data plus `Copy`, `Eq`, `Ord` and
/// `Hash`. Variants are serialized in snake case where the format has names.
#[macro_export]
macro_rules! plain_choice {
    ($($item:item)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )+
    };
}

/// Defines a newtype for a name, around an owned string.
macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(String);

            impl $name {
                /// Creates a name from `text`, which is not checked.
                pub fn new(text: &str) -> Self {
                    Self(text.to_owned())
                }

                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    formatter.write_str(&self.0)
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self::new(text)
                }
            }
        )+
    };
}

/// Defines a newtype for a number, around an unsigned integer.
macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl $name {
                /// The number that follows this one.
                pub fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    write!(formatter, "{}", self.0)
                }
            }
        )+
    };
}

/// Defines a newtype for a 128-bit identifier that is displayed as 32 hexadecimal digits.
macro_rules! identity_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u128);

            impl $name {
                /// Parses 32 hexadecimal digits; `None` when `text` is anything else.
                pub fn parse(text: &str) -> Option<Self> {
                    if text.len() != 32 {
                        return None;
                    }
                    u128::from_str_radix(text, 16).ok().map(Self)
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    write!(formatter, "{:032x}", self.0)
                }
            }
        )+
    };
}
