//! Implements the journal's state trait for the state of a slice.

use {
    super::{Image, Record},
    crate::journal::{self, Bucket, Malformed},
};

impl journal::Image for Image {
    type Record = Record;

    fn bucket(record: &Record) -> Bucket {
        // The journal derives a bucket from the highest 4 bits of a hash.
        Bucket::of((record.bucket() as u64) << 60)
    }

    fn apply(&mut self, record: &Record) {
        Image::apply(self, record);
    }

    fn encode(&self, bucket: Bucket) -> Vec<u8> {
        // Encoding plain data into memory cannot fail. Writing an empty bucket
        // instead would lose jobs, so the owner must not continue.
        match Image::encode(self, bucket.index()) {
            Ok(bytes) => bytes,
            Err(error) => unreachable!("bucket cannot be encoded: {error}"),
        }
    }

    fn decode(&mut self, bucket: Bucket, bytes: &[u8]) -> Result<(), Malformed> {
        Ok(Image::decode(self, bucket.index(), bytes)?)
    }
}
