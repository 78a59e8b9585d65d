//! Settings: the sample files are valid, and errors name file, field and reason.

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
fn parses_entry_settings() {
    let entry = parse_entry(ENTRY, Path::new("entry.jsonc")).expect("valid settings");
    assert_eq!(&*entry.place.data_centre, "khomas-a");
}

#[rstest]
#[case::unknown_field(r#""log""#, r#""lag""#, "entry.jsonc: lag: unknown field")]
#[case::wrong_type(r#""host": "a""#, r#""host": 1"#, "entry.jsonc: host: invalid type")]
#[case::empty_required_field(r#""host": "a""#, r#""host": """#, "host: is required")]
#[case::malformed_address("127.0.0.1:4", "here:4", "log: 'here:4' is not ip:port")]
#[case::port_zero("127.0.0.1:4", "127.0.0.1:0", "log: port must be at least 1")]
#[case::duplicate_address(
    "127.0.0.1:3",
    "127.0.0.1:1",
    "listen.admin: is the same as listen.http"
)]
#[case::malformed_key("00000000\"", "zz\"", "operators[0].key: is not a public key")]
#[case::out_of_range(
    r#""host": "a""#,
    r#""limits": { "header_bytes": 1 }, "host": "a""#,
    "limits.header_bytes: must be at least 1024"
)]
#[case::silence_below_two_heartbeats(
    r#""host": "a""#,
    r#""timing": { "heartbeat_ms": 5000 }, "host": "a""#,
    "timing.silent_ms: must be at least twice"
)]
#[case::malformed_json("{", "[", "entry.jsonc: ")]
fn rejects_invalid_settings(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = ENTRY.replacen(from, to, 1);
    let error = parse_entry(&text, Path::new("entry.jsonc"))
        .expect_err("invalid settings")
        .to_string();
    assert!(error.contains(message), "{error}");
    assert!(parse_agent(&text, Path::new("entry.jsonc")).is_err());
}

#[test]
fn sample_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    let mut count = 0;
    for deployment in ["kalahari", "direccion"] {
        for entry in fs::read_dir(folder.join(deployment)).expect("sample folder") {
            let path = entry.expect("folder entry").path();
            let name = path
                .file_name()
                .and_then(|n| n.to_str())
                .unwrap_or_default();
            let result = if name.starts_with("entry") {
                read_entry(&path).map(|_| ())
            } else {
                read_agent(&path).map(|_| ())
            };
            result.expect("valid settings");
            count += 1;
        }
    }
    // 16 and 15 backend servers, and 6 entry hosts in each deployment.
    assert_eq!(count, 16 + 15 + 6 + 6);
}
