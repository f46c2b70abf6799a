//! Deserialization of a value from its text; the value of an optional setting becomes `Some`.

use serde::de::value::{Error, StringDeserializer};
use serde::de::{Deserializer, IntoDeserializer, Visitor};
use serde::forward_to_deserialize_any;

/// The value of one key, as the text in the file.
pub(crate) struct Value(pub String);

impl<'de> IntoDeserializer<'de, Error> for Value {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl Value {
    fn text(self) -> StringDeserializer<Error> {
        self.0.into_deserializer()
    }
}

impl<'de> Deserializer<'de> for Value {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.text().deserialize_any(visitor)
    }

    /// Deserializes the value of a present key as `Some`. serde's own deserializer for strings does not support
    /// `Option`.
    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_some(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.text().deserialize_enum(name, variants, visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct seq
        tuple tuple_struct map struct identifier ignored_any
    }
}
