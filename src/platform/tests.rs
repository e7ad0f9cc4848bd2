//! Tests of how the adapter decodes values that another writer has stored.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::graph::WorkerRegistration;
use crate::node::{KeyItem, KeyPage};
use crate::platform::registrations::{RegistrationError, decode_registration, worker_of_key};
use crate::platform::store::{WirePage, escape_query};

/// A registration with every required field.
fn complete_registration() -> Value {
    json!({
        "service": "svc", "address": "10.0.0.9:8080", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_ms": 0, "sequence": 4, "labels": ["k", "r1-3"],
        "capacity": {"millicpu": 8_000, "mem_mb": 16_000, "gpus": 0},
    })
}

/// Value of a complete registration, for tests of other modules.
pub(crate) fn registration_fixture(is_leaving: bool) -> Bytes {
    with_field("state", json!(if is_leaving { "draining" } else { "ready" }))
}

/// A complete registration with one field replaced or added.
fn with_field(field: &str, value: Value) -> Bytes {
    let mut registration = complete_registration();
    registration[field] = value;
    Bytes::from(serde_json::to_vec(&registration).unwrap())
}

/// A complete registration with one field left out.
fn without_field(field: &str) -> Bytes {
    let mut registration = complete_registration();
    registration.as_object_mut().unwrap().remove(field);
    Bytes::from(serde_json::to_vec(&registration).unwrap())
}

fn decode(key: &str, value: Bytes) -> std::result::Result<WorkerRegistration, RegistrationError> {
    decode_registration(&KeyItem { key: key.to_owned(), value, revision: 1 })
}

#[gtest]
fn a_complete_registration_is_accepted() {
    for value in [
        with_field("state", json!("ready")),
        with_field("machine", json!("m1")),
        with_field("new", json!(1)),
    ] {
        let registration = decode("servers/w1", value).unwrap();
        expect_that!(&*registration.id, eq("w1"));
        expect_that!(&*registration.domain, eq("a"));
        expect_that!(&*registration.rack, eq("r1-3"));
        expect_that!(registration.leaving, none());
    }
    let registration =
        decode("servers/w1", with_field("born", json!(1_792_000_000_000_u64))).unwrap();
    expect_that!(registration.instance_start, some(eq(1_792_000_000_000)));
    let draining = decode("servers/w1", with_field("state", json!("draining"))).unwrap();
    expect_that!(draining.leaving, some(anything()));
    let overdue = json!({"state": "draining", "remaining_ms": -3.5, "cold_ms": -0.5});
    let mut registration = complete_registration();
    registration.as_object_mut().unwrap().extend(overdue.as_object().unwrap().clone());
    let overdue = decode("servers/w1", Bytes::from(registration.to_string())).unwrap();
    expect_that!(overdue.leaving, some(eq(Duration::ZERO)));
}

/// Guards against calling and placing tasks on what is not a worker: registrations of another writer, with
/// an unknown state or without a domain, capacity or version, were accepted.
#[gtest]
fn an_incomplete_or_invalid_registration_is_rejected() {
    let fields = [
        "service", "address", "zone", "version", "slots", "state", "cold_ms", "sequence", "labels",
        "capacity",
    ];
    for field in fields {
        expect_that!(
            decode("servers/w1", without_field(field)),
            err(anything()),
            "without {field}"
        );
        expect_that!(
            decode("servers/w1", with_field(field, json!(null))),
            err(anything()),
            "{field}"
        );
        let wrong_type = json!([[true]]);
        expect_that!(
            decode("servers/w1", with_field(field, wrong_type)),
            err(anything()),
            "{field}"
        );
    }
    let values = [
        ("service", json!("")),
        ("address", json!("10.0.0.9")),
        ("address", json!("10.0.0.9:99999")),
        ("address", json!("10.0.0.9:0")),
        ("address", json!("0.0.0.0:8080")),
        ("address", json!("255.255.255.255:8080")),
        ("address", json!("224.0.0.1:8080")),
        ("zone", json!("")),
        ("state", json!("")),
        ("state", json!("READY")),
        ("state", json!("asleep")),
        ("version", json!(1)),
        ("slots", json!("8")),
        ("remaining_ms", json!("soon")),
        ("born", json!(null)),
        ("born", json!("1792000000000")),
        ("born", json!(1_792_000_000_000.5)),
        ("born", json!(-1)),
        ("labels", json!("r1-3")),
        ("labels", json!([1])),
        ("capacity", json!({"millicpu": 8_000, "mem_mb": 16_000})),
        ("capacity", json!({"millicpu": -1, "mem_mb": 16_000, "gpus": 0})),
        ("capacity", json!({"millicpu": 1e300, "mem_mb": 16_000, "gpus": 0})),
        ("capacity", json!({"millicpu": u64::MAX, "mem_mb": 16_000, "gpus": 0})),
    ];
    for (field, value) in values {
        let result = decode("servers/w1", with_field(field, value.clone()));
        expect_that!(result, err(anything()), "{field}: {value}");
    }
    for value in ["", "{", "[]", "null", "7", "\"ready\"", "{}", "not json"] {
        expect_that!(decode("servers/w1", Bytes::from(value)), err(anything()), "{value}");
    }
    let not_utf8 = Bytes::from_static(b"{\"service\":\"\xff\xfe\"}");
    expect_that!(decode("servers/w1", not_utf8), err(anything()));
}

/// Guards against polls that always fail: the id is sent in a header of each call to the worker, and an id
/// that is not valid there was accepted.
#[gtest]
fn a_key_without_a_valid_worker_id_is_rejected() {
    for id in ["", "a/b", "/", "a b", "a\nb", "a\u{7f}", "ü", "\u{0}"] {
        let key = format!("servers/{id}");
        expect_that!(worker_of_key(&key), none(), "{id:?}");
        expect_that!(decode(&key, with_field("state", json!("ready"))), err(anything()), "{id:?}");
    }
    expect_that!(worker_of_key("op/config"), none());
    expect_that!(worker_of_key("servers/i-7f3a91c2").as_deref(), some(eq("i-7f3a91c2")));
}

/// Guards against losing a whole page: one value that was not base64, or one item of another shape, made the
/// page unreadable, so that no worker was registered and a leader could not read its jobs.
#[gtest]
fn an_unreadable_item_does_not_make_its_page_unreadable() {
    let items = json!([
        {"key": "servers/a", "value": "YQ==", "revision": 3, "lease": 0},
        {"key": "servers/b", "value": "!", "revision": 4},
        {"key": "servers/c", "value": 7, "revision": 5},
        {"key": "servers/d", "revision": 6},
        {"key": 7, "value": "YQ==", "revision": 7},
        {"value": "YQ=="},
        null, 7, "text", [],
        {"key": "servers/e", "value": "Yg==", "revision": 8},
    ]);
    let body = json!({"items": items, "has_more": true, "as_of": 9});
    let page: KeyPage = serde_json::from_value::<WirePage>(body).unwrap().into();
    let found: Vec<(&str, &[u8])> =
        page.items.iter().map(|item| (&*item.key, &*item.value)).collect();
    let expected: Vec<(&str, &[u8])> = vec![
        ("servers/a", b"a"),
        ("servers/b", b""),
        ("servers/c", b""),
        ("servers/d", b""),
        ("servers/e", b"b"),
    ];
    expect_that!(found, eq(&expected));
    expect_true!(page.more);
    expect_that!(page.revision, eq(9));
}

/// Guards against a read of several pages that cannot continue: the next page begins after a key, and with a reserved
/// character in that key the same page was read repeatedly, or none.
#[gtest]
fn reserved_characters_of_a_key_are_escaped_in_a_query() {
    expect_that!(escape_query("servers/i-7f3a91c2"), eq("servers/i-7f3a91c2"));
    expect_that!(escape_query("m/entry/front-a.1_2~3"), eq("m/entry/front-a.1_2~3"));
    expect_that!(escape_query("a b&c=%#+?ü"), eq("a%20b%26c%3D%25%23%2B%3F%C3%BC"));
}
