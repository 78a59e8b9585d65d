//! Generates the code in `src/generated` from the `.proto` files.

use std::{error::Error, path::Path};

const PROTO_FILES: [&str; 4] = ["settings.proto", "config.proto", "wire.proto", "peer.proto"];
const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let descriptors = protox::Compiler::new([&proto])?
        .include_source_info(true)
        .include_imports(true)
        .open_files(PROTO_FILES)?
        .file_descriptor_set();
    prost_build::Config::new()
        .btree_map(["."])
        .bytes(["."])
        .type_attribute(".jayspread.settings", SERDE_DERIVE)
        .type_attribute(
            ".jayspread.settings",
            "#[serde(deny_unknown_fields, default)]",
        )
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
