//! Deserialises a node into a type, with the line of the first mismatch.

use std::fmt;

use serde::de::value::StrDeserializer;
use serde::de::{
    self, DeserializeSeed, Deserializer, EnumAccess, IntoDeserializer as _, MapAccess, SeqAccess,
    VariantAccess, Visitor,
};

use super::{Field, Value, YamlNode};

/// An error in a text or in the type of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line, from 1; 0 while unknown.
    pub line: usize,
    /// Names on the path from the deserialised value to the invalid one.
    pub field: Vec<String>,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl ParseError {
    /// Prepends `name` to the path and sets the line if it is unknown.
    fn with_parent(mut self, line: usize, name: &str) -> Self {
        if self.line == 0 {
            self.line = line;
        }
        self.field.insert(0, name.to_owned());
        self
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for ParseError {}

impl de::Error for ParseError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self {
            line: 0,
            field: Vec::new(),
            message: message.to_string(),
        }
    }
}

impl<'de> Deserializer<'de> for &'de YamlNode {
    type Error = ParseError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        match &self.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Unsigned(value) => visitor.visit_u64(*value),
            Value::Signed(value) => visitor.visit_i64(*value),
            Value::Float(value) => visitor.visit_f64(*value),
            Value::Text(value) => visitor.visit_borrowed_str(value),
            Value::Sequence(items) => visitor.visit_seq(SequenceItems(items.iter().enumerate())),
            Value::Mapping(fields) => visitor.visit_map(MappingFields {
                fields: fields.iter(),
                current: None,
            }),
        }
    }

    // YAML reads a name such as `007` as a number, but the field expects text.
    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        match &self.value {
            Value::Bool(value) => visitor.visit_string(value.to_string()),
            Value::Unsigned(value) => visitor.visit_string(value.to_string()),
            Value::Signed(value) => visitor.visit_string(value.to_string()),
            Value::Float(value) => visitor.visit_string(value.to_string()),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        self.deserialize_string(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        match self.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ParseError> {
        match &self.value {
            Value::Text(name) => visitor.visit_enum(UnitVariant(name)),
            _ => Err(de::Error::custom(format_args!(
                "expected one of {}",
                variants.join(", ")
            ))),
        }
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char bytes byte_buf unit
        unit_struct newtype_struct seq tuple tuple_struct map struct identifier
        ignored_any
    }
}

struct SequenceItems<'a>(std::iter::Enumerate<std::slice::Iter<'a, YamlNode>>);

impl<'de> SeqAccess<'de> for SequenceItems<'de> {
    type Error = ParseError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ParseError> {
        let Some((index, node)) = self.0.next() else {
            return Ok(None);
        };
        seed.deserialize(node)
            .map(Some)
            .map_err(|error| error.with_parent(node.line, &index.to_string()))
    }
}

struct MappingFields<'a> {
    fields: std::slice::Iter<'a, Field>,
    current: Option<&'a Field>,
}

impl<'de> MapAccess<'de> for MappingFields<'de> {
    type Error = ParseError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ParseError> {
        self.current = self.fields.next();
        let Some(field) = self.current else {
            return Ok(None);
        };
        let name: StrDeserializer<'_, ParseError> = field.name.as_str().into_deserializer();
        seed.deserialize(name)
            .map(Some)
            .map_err(|error| error.with_parent(field.line, &field.name))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, ParseError> {
        let field = self.current.expect("serde requests the key first");
        seed.deserialize(&field.node)
            .map_err(|error| error.with_parent(field.line, &field.name))
    }
}

struct UnitVariant<'a>(&'a str);

impl<'de> EnumAccess<'de> for UnitVariant<'de> {
    type Error = ParseError;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self), ParseError> {
        let name: StrDeserializer<'_, ParseError> = self.0.into_deserializer();
        Ok((seed.deserialize(name)?, self))
    }
}

impl<'de> VariantAccess<'de> for UnitVariant<'de> {
    type Error = ParseError;

    fn unit_variant(self) -> Result<(), ParseError> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, _: T) -> Result<T::Value, ParseError> {
        Err(de::Error::custom("expected a name alone"))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _: usize, _: V) -> Result<V::Value, ParseError> {
        Err(de::Error::custom("expected a name alone"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, ParseError> {
        Err(de::Error::custom("expected a name alone"))
    }
}
