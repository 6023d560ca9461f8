//! Values of JSON that the derived decoders would read too narrowly or too widely.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, MapAccess, Unexpected, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// Greatest whole number that a number with a fraction or an exponent states exactly.
const EXACT_MAX: f64 = 9_007_199_254_740_991.0;

/// A whole number from 0, written with or without a fraction of 0.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(transparent)]
pub struct WholeNumber(
    /// The number.
    pub u64,
);

impl WholeNumber {
    /// Returns the number, or the greatest one that the type has.
    pub fn saturate(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// Returns the number, or the greatest one that the type has.
    pub fn saturate_size(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WholeNumberVisitor)
    }
}

struct WholeNumberVisitor;

impl Visitor<'_> for WholeNumberVisitor {
    type Value = WholeNumber;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number from 0")
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<WholeNumber, E> {
        Ok(WholeNumber(v))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is whole and in the range of the type"
    )]
    fn visit_f64<E: Error>(self, v: f64) -> Result<WholeNumber, E> {
        if v.fract() == 0.0 && (0.0..=EXACT_MAX).contains(&v) {
            Ok(WholeNumber(v as u64))
        } else {
            Err(E::invalid_value(Unexpected::Float(v), &self))
        }
    }
}

/// A value that must be a JSON object; a derived decoder takes an array as well.
#[derive(Debug)]
pub struct JsonObject<T>(
    /// Value that was decoded from the object.
    pub T,
);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for JsonObject<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = JsonObject<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<JsonObject<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(JsonObject)
    }
}
