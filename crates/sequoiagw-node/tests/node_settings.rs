//! Errors of a node's settings file, and the sample settings.

use sequoiagw_node::NodeSettings;

const SETTINGS: &str = r#"
name = "node-a"
data_centre = "north"
peer_address = "127.0.0.1:7001"
caller_address = "127.0.0.1:8001"
store_endpoints = ["http://127.0.0.1:2379"]
"#;

#[test]
fn settings_error_names_key_line_value_and_allowed_range() {
    let refused = |from: &str, to: &str| {
        let source = SETTINGS.replace(from, to);
        NodeSettings::from_toml(&source)
            .expect_err("the settings should be rejected")
            .to_string()
    };
    let text = refused("127.0.0.1:7001", "127.0.0.1:0");
    for part in ["peer_address", "line 4", "127.0.0.1:0", "1 to 65535"] {
        assert!(text.contains(part), "{text}");
    }
    let text = refused("name = \"node-a\"", "name = \"node-a\"\nspeed = 3");
    assert!(text.contains("speed") && text.contains("line 3"), "{text}");
    let text = refused("http://127.0.0.1:2379", "127.0.0.1:2379");
    assert!(text.contains("store_endpoints"), "{text}");
}

#[test]
fn sample_settings_are_valid_and_arbitrary_text_never_panics() {
    for sample in [
        include_str!("../../../samples/node-a.toml"),
        include_str!("../../../samples/node-b.toml"),
        include_str!("../../../samples/node-c.toml"),
    ] {
        NodeSettings::from_toml(sample).expect("the sample settings should be valid");
    }
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = NodeSettings::from_toml(text);
        let _ = NodeSettings::from_toml(&format!("{SETTINGS}\n{text}"));
    });
}
