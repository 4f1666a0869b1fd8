//! Splitting of JSON texts: parts that no decoder accepts must not affect the others.

use {
    proptest::{
        collection::{btree_map, vec},
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
        test_runner::{RngAlgorithm, TestRng, TestRunner},
    },
    serde_json::{Map, Value},
    skylarkflow_store::{json, wire::Listing},
    std::collections::BTreeMap,
};

const SEED: [u8; 32] = *b"skylarkflow json parts seed  1!!";

/// Texts that a store may return in an object of another writer, and that a decoder of JSON rejects.
const UNREADABLE: [&[u8]; 12] = [
    br#""depot \ud83d""#,
    br#"{"\ud83d": 1}"#,
    b"1e999",
    b"-1e999",
    b"NaN",
    b"Infinity",
    b"-",
    b"01",
    br#""\x41""#,
    b"\"line\nbreak\"",
    b"\"\xff\xfe\"",
    b"nil",
];

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[ -~\"\\\\{}\\[\\],:\\n\\u{e9}]{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 6, |inner| {
        let members = btree_map("[a-c\"\\\\{]{1,3}", inner.clone(), 0..4);
        prop_oneof![
            vec(inner, 0..5).prop_map(Value::from),
            members.prop_map(|members| Value::Object(Map::from_iter(members))),
        ]
    })
}

/// Guards against parts that are cut at the wrong place, by comparison with the decoder.
#[test]
fn parts_are_the_same_as_those_of_the_decoder() {
    let check = |value: Value| {
        for text in [value.to_string(), format!("{value:#}")] {
            let decode = |part: &[u8]| serde_json::from_slice::<Value>(part).expect("JSON");
            let elements = json::elements(text.as_bytes());
            let elements = elements.map(|parts| parts.into_iter().map(decode).collect());
            assert_eq!(elements, value.as_array().cloned());
            let members = json::members(text.as_bytes());
            let members = members.map(|parts| parts.len());
            assert_eq!(members, value.as_object().map(Map::len));
            let parts = json::members(text.as_bytes()).unwrap_or_default();
            for (name, part) in parts.iter().filter(|(name, _)| !name.contains('\\')) {
                assert_eq!(decode(part), value[*name]);
                assert_eq!(json::member(&parts, name), Some(*part));
            }
        }
        Ok(())
    };
    runner(500).run(&value(), check).expect("the same parts");
}

/// Guards against a list that is lost because a decoder rejects one of its elements.
#[test]
fn unreadable_elements_do_not_affect_the_others() {
    let nested = [&b"[".repeat(100_000)[..], &b"]".repeat(100_000)].concat();
    for unreadable in UNREADABLE.into_iter().chain([&nested[..]]) {
        let text = [b"[{\"a\":[1]} , ", unreadable, b",\"b\"]"].concat();
        let expected = vec![&b"{\"a\":[1]}"[..], unreadable, b"\"b\""];
        assert_eq!(json::elements(&text), Some(expected));
        let text = [b"{\"a\" : ", unreadable, b",\"b\":2}"].concat();
        let members = json::members(&text).expect("an object");
        assert_eq!(json::member(&members, "a"), Some(unreadable));
        assert_eq!(json::member(&members, "b"), Some(&b"2"[..]));
    }
}

/// Guards against a text that was cut short and counts as complete, and against a panic in any text.
#[test]
fn incomplete_texts_are_rejected() {
    let text = br#"[{"a": [1, "b]"], "c\"": {}}, [], "d", 5]"#;
    assert_eq!(json::elements(text).map(|parts| parts.len()), Some(4));
    for length in 0..text.len() {
        assert_eq!(json::elements(&text[..length]), None, "{length}");
    }
    for text in [
        "", "[1,]", "[,]", "[1 2]", "[1]]", "[1}", "[}", "{", "{\"a\"}", "{1:2}",
    ] {
        assert_eq!(json::elements(text.as_bytes()), None, "{text}");
        assert_eq!(json::members(text.as_bytes()), None, "{text}");
    }
    let bytes = vec(
        prop_oneof![any::<u8>(), proptest::sample::select(&b"[]{}\",:\\"[..])],
        0..40,
    );
    let no_panic = |bytes: Vec<u8>| {
        let _ = (json::elements(&bytes), json::members(&bytes));
        Ok(())
    };
    runner(5_000).run(&bytes, no_panic).expect("no panic");
}

/// Guards against a configuration that no balancer of the CoAP path follows any more, because one object cannot be read.
#[test]
fn an_unreadable_object_leaves_the_others_of_a_listing_usable() {
    for unreadable in UNREADABLE {
        let odd = [
            b"{\"key\":\"pools/a\",\"version\":1,\"value\":",
            unreadable,
            b"}",
        ]
        .concat();
        let usable = br#"{"key":"routes/b","version":2,"value":{"name":"b"}}"#;
        let objects = [&odd[..], usable, &odd].join(&b","[..]);
        let text = [b"{\"revision\":9,\"objects\":[", &objects[..], b"]}"].concat();
        let listing = Listing::from_slice(&text).expect("a listing");
        let keys: Vec<&str> = listing.objects.iter().map(|object| &*object.key).collect();
        assert_eq!((listing.revision, &keys[..]), (9, &["routes/b"][..]));
        assert!(Listing::from_slice(&text[..text.len() - 1]).is_err());
    }
    assert!(Listing::from_slice(b"{}").is_err());
}

/// Guards against a second value that hides the one which decoders use.
#[test]
fn the_last_of_several_members_counts() {
    let members = json::members(br#"{"a": 1, "a": 2}"#).expect("an object");
    assert_eq!(json::member(&members, "a"), Some(&b"2"[..]));
    let decoded: BTreeMap<String, u8> = serde_json::from_str(r#"{"a": 1, "a": 2}"#).expect("JSON");
    assert_eq!(decoded["a"], 2);
}
