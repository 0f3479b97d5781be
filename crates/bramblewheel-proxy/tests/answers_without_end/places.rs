//! The places of an answer at which bytes without an end may come.

use crate::LENGTH;
use crate::support::endpoint::{Behavior, WithoutEnd};
use std::time::Duration;

/// Size of a body's beginning that is longer than what is buffered, so that the head is passed on.
const PASSED_ON: usize = 100_000;
/// Bytes that are written at one time if they come as fast as they are read.
const FLOOD: usize = 64 * 1024;

/// How the bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// As fast as they are read.
    Flood,
    /// Slowly.
    Trickle,
    /// Not at all: the answer stops at its place.
    Stall,
}

/// A place of an answer.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: &'static str,
    begin: String,
    piece: &'static str,
}

impl Place {
    fn new(name: &'static str, begin: &str, piece: &'static str) -> Self {
        Self {
            name,
            begin: begin.to_owned(),
            piece,
        }
    }

    pub fn behavior(&self, speed: Speed) -> Behavior {
        let repeated = if speed == Speed::Flood {
            FLOOD / self.piece.len()
        } else {
            1
        };
        Behavior::WithoutEnd(WithoutEnd {
            begin: self.begin.clone(),
            piece: self.piece.repeat(repeated).into_bytes(),
            pause: match speed {
                Speed::Flood => Some(Duration::ZERO),
                Speed::Trickle => Some(Duration::from_millis(20)),
                Speed::Stall => None,
            },
        })
    }
}

/// All places.
pub fn places() -> Vec<Place> {
    let ok = "HTTP/1.1 200 OK\r\n{fields}";
    let sized = format!("{ok}content-length: {LENGTH}\r\n\r\n");
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let unsized_body = format!("{ok}\r\n");
    let long = "x".repeat(PASSED_ON);
    let long_chunk = format!("{chunked}{PASSED_ON:x}\r\n{long}\r\n");
    let mut places = vec![
        Place::new("first-byte", "", "x"),
        Place::new("blank-lines", "", "\r\n"),
        Place::new("version", "HTTP/1.", "1"),
        Place::new("status", "HTTP/1.1 2", "0"),
        Place::new("reason", "HTTP/1.1 200 ", "x"),
        Place::new("field-name", ok, "x"),
        Place::new("field-value", &format!("{ok}x-long: "), "x"),
        Place::new("fields", ok, "x-more: 1\r\n"),
        Place::new("interim-answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        Place::new("continue-answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    for (has_begun, sized, chunked, unsized_body) in [
        (false, sized.clone(), chunked.clone(), unsized_body.clone()),
        (true, sized + &long, long_chunk, unsized_body + &long),
    ] {
        let name = |short: &'static str, long: &'static str| if has_begun { long } else { short };
        places.extend([
            Place::new(name("sized", "long-sized"), &sized, "x"),
            Place::new(name("unsized", "long-unsized"), &unsized_body, "x"),
            Place::new(name("chunks", "long-chunks"), &chunked, "1\r\nx\r\n"),
            Place::new(name("chunk-size", "long-chunk-size"), &chunked, "0"),
            Place::new(
                name("chunk-space", "long-chunk-space"),
                &format!("{chunked}5"),
                " ",
            ),
            Place::new(
                name("chunk-extension", "long-chunk-extension"),
                &format!("{chunked}5;"),
                "x",
            ),
            Place::new(
                name("chunk-extensions", "long-chunk-extensions"),
                &chunked,
                "1;extension=1\r\nx\r\n",
            ),
            Place::new(
                name("chunk-data", "long-chunk-data"),
                &format!("{chunked}fffffff\r\n"),
                "x",
            ),
            Place::new(
                name("trailers", "long-trailers"),
                &format!("{chunked}0\r\n"),
                "x: 1\r\n",
            ),
            Place::new(
                name("trailer-value", "long-trailer-value"),
                &format!("{chunked}0\r\nx: "),
                "x",
            ),
        ]);
    }
    places
}
