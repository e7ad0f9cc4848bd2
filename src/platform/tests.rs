//! What the adapter makes of values that another writer has left in the store.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::graph::WorkerRegistration;
use crate::node::{KeyItem, KeyPage};
use crate::platform::registrations::{RegistrationError, decode_registration, worker_of_key};
use crate::platform::store::{WirePage, escape_query};

/// A registration with every field.
fn whole() -> Value {
    json!({
        "service": "svc", "address": "10.0.0.9:8080", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_ms": 0, "sequence": 4, "labels": ["k", "r1-3"],
        "capacity": {"millicpu": 8_000, "mem_mb": 16_000, "gpus": 0},
    })
}

/// A whole registration with one field replaced.
fn with(field: &str, value: Value) -> Bytes {
    let mut registration = whole();
    registration[field] = value;
    Bytes::from(serde_json::to_vec(&registration).unwrap())
}

/// A whole registration with one field left out.
fn without(field: &str) -> Bytes {
    let mut registration = whole();
    registration.as_object_mut().unwrap().remove(field);
    Bytes::from(serde_json::to_vec(&registration).unwrap())
}

fn decode(key: &str, value: Bytes) -> std::result::Result<WorkerRegistration, RegistrationError> {
    decode_registration(&KeyItem { key: key.to_owned(), value, revision: 1 })
}

#[gtest]
fn a_whole_registration_names_a_worker() {
    for value in
        [with("state", json!("ready")), with("machine", json!("m1")), with("new", json!(1))]
    {
        let registration = decode("servers/w1", value).unwrap();
        expect_that!(&*registration.id, eq("w1"));
        expect_that!(&*registration.domain, eq("a"));
        expect_that!(&*registration.rack, eq("r1-3"));
        expect_that!(registration.leaving, none());
    }
    let registration = decode("servers/w1", with("born", json!(1_792_000_000_000_u64))).unwrap();
    expect_that!(registration.instance_start, some(eq(1_792_000_000_000)));
    let leaving = decode("servers/w1", with("state", json!("draining"))).unwrap();
    expect_that!(leaving.leaving, some(anything()));
    let late = json!({"state": "draining", "remaining_ms": -3.5, "cold_ms": -0.5});
    let mut registration = whole();
    registration.as_object_mut().unwrap().extend(late.as_object().unwrap().clone());
    let late = decode("servers/w1", Bytes::from(registration.to_string())).unwrap();
    expect_that!(late.leaving, some(eq(Duration::ZERO)));
}

/// A registration in a state that nothing names was taken for a usable one, and so was one without a
/// domain, a capacity or a version: another writer's entry was called and given work. Whatever is not
/// whole names no worker.
#[gtest]
fn a_registration_that_is_not_whole_names_no_worker() {
    let fields = [
        "service", "address", "zone", "version", "slots", "state", "cold_ms", "sequence", "labels",
        "capacity",
    ];
    for field in fields {
        expect_that!(decode("servers/w1", without(field)), err(anything()), "without {field}");
        expect_that!(decode("servers/w1", with(field, json!(null))), err(anything()), "{field}");
        let wrong = json!([[true]]);
        expect_that!(decode("servers/w1", with(field, wrong)), err(anything()), "{field}");
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
        let result = decode("servers/w1", with(field, value.clone()));
        expect_that!(result, err(anything()), "{field}: {value}");
    }
    for value in ["", "{", "[]", "null", "7", "\"ready\"", "{}", "not json"] {
        expect_that!(decode("servers/w1", Bytes::from(value)), err(anything()), "{value}");
    }
    let not_utf8 = Bytes::from_static(b"{\"service\":\"\xff\xfe\"}");
    expect_that!(decode("servers/w1", not_utf8), err(anything()));
}

/// An id goes into the head of each call to its worker. One that cannot stand there was polled in vain
/// for as long as its entry stood.
#[gtest]
fn a_strange_key_names_no_worker() {
    for id in ["", "a/b", "/", "a b", "a\nb", "a\u{7f}", "ü", "\u{0}"] {
        let key = format!("servers/{id}");
        expect_that!(worker_of_key(&key), none(), "{id:?}");
        expect_that!(decode(&key, with("state", json!("ready"))), err(anything()), "{id:?}");
    }
    expect_that!(worker_of_key("op/config"), none());
    expect_that!(worker_of_key("servers/i-7f3a91c2").as_deref(), some(eq("i-7f3a91c2")));
}

/// One value that was not base64, or one item of another shape, made the whole page unreadable: no
/// worker was listed, and a leader could not read its jobs.
#[gtest]
fn an_unreadable_item_does_not_stop_its_page() {
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

/// The next page begins after a key. Where that key had a sign with a meaning in a query, the same page
/// was read again and again, or none.
#[gtest]
fn a_strange_key_in_a_query_is_escaped() {
    expect_that!(escape_query("servers/i-7f3a91c2"), eq("servers/i-7f3a91c2"));
    expect_that!(escape_query("m/entry/front-a.1_2~3"), eq("m/entry/front-a.1_2~3"));
    expect_that!(escape_query("a b&c=%#+?ü"), eq("a%20b%26c%3D%25%23%2B%3F%C3%BC"));
}
