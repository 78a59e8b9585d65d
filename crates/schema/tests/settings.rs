//! Settings: samples are sound, bad input is refused with file, field and reason.

use {
    jayspread_schema::settings::{parse_agent, parse_entry, read_agent, read_entry},
    rstest::rstest,
    std::{fs, path::Path},
};

const ENTRY: &str = r#"{
    "host": "a", "data_centre": "khomas-a", "region": "khomas",
    "listen": { "http": "127.0.0.1:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3" },
    "tls": { "authority": "a.pem", "certificate": "b.pem", "key": "b.key" },
    "log": "127.0.0.1:4", "hosts": "127.0.0.1:5",
    "operators": [{ "name": "o", "key": "0000000000000000000000000000000000000000000000000000000000000000" }],
}"#;

#[test]
fn reads_an_entry_host() {
    let entry = parse_entry(ENTRY, Path::new("entry.jsonc")).expect("the sample is sound");
    assert_eq!(&*entry.place.data_centre, "khomas-a");
}

#[rstest]
#[case::unknown(r#""log""#, r#""lag""#, "entry.jsonc: lag: unknown field")]
#[case::wrong_type(r#""host": "a""#, r#""host": 1"#, "entry.jsonc: host: invalid type")]
#[case::missing(r#""host": "a""#, r#""host": """#, "host: is required")]
#[case::address("127.0.0.1:4", "here:4", "log: 'here:4' is not ip:port")]
#[case::port("127.0.0.1:4", "127.0.0.1:0", "log: port must be at least 1")]
#[case::same(
    "127.0.0.1:3",
    "127.0.0.1:1",
    "listen.admin: is the same as listen.http"
)]
#[case::key("00000000\"", "zz\"", "operators[0].key: is not a public key")]
#[case::range(
    r#""host": "a""#,
    r#""limits": { "header_bytes": 1 }, "host": "a""#,
    "limits.header_bytes: must be at least 1024"
)]
#[case::silent(
    r#""host": "a""#,
    r#""timing": { "heartbeat_ms": 5000 }, "host": "a""#,
    "timing.silent_ms: must be at least twice"
)]
#[case::broken("{", "[", "entry.jsonc: ")]
fn refuses(#[case] from: &str, #[case] to: &str, #[case] reason: &str) {
    let text = ENTRY.replacen(from, to, 1);
    let error = parse_entry(&text, Path::new("entry.jsonc"))
        .expect_err("spoilt")
        .to_string();
    assert!(error.contains(reason), "{error}");
    assert!(parse_agent(&text, Path::new("entry.jsonc")).is_err());
}

#[test]
fn samples_are_sound() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    let mut count = 0;
    for deployment in ["kalahari", "direccion"] {
        for file in fs::read_dir(folder.join(deployment)).expect("samples exist") {
            let path = file.expect("readable").path();
            let name = path
                .file_name()
                .and_then(|n| n.to_str())
                .unwrap_or_default();
            let read = if name.starts_with("entry") {
                read_entry(&path).map(|_| ())
            } else {
                read_agent(&path).map(|_| ())
            };
            read.expect("samples are sound");
            count += 1;
        }
    }
    // 16 and 15 backend servers, 6 entry hosts each.
    assert_eq!(count, 16 + 15 + 6 + 6);
}
