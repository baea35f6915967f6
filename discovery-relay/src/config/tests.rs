use super::*;

/// With a misspelled key the relay would run with other values than intended. It must not start, and the
/// error has to name the file and the key.
#[test]
fn invalid_key_is_reported_with_file() {
    let valid = "listen = \"127.0.0.1:0\"\n[source]\nnear = [\"127.0.0.1:1\"]\n";
    let config = Config::parse(Path::new("f.toml"), valid).expect("valid");
    assert!(!config.serves_full_list && config.max_connections > 0 && config.scopes.is_empty());
    for (text, key) in [
        ("listen = \"127.0.0.1:0\"\n[source]\n", "source.near"),
        ("listen = \"nowhere\"\n[source]\nnear = [\"127.0.0.1:1\"]", "line 1"),
        ("listen = \"127.0.0.1:0\"\n[source]\nnearer = [\"127.0.0.1:1\"]", "line 3"),
        ("connections = 0\nlisten = \"127.0.0.1:0\"\n[source]\nnear = [\"127.0.0.1:1\"]", "connections"),
        ("listen = \"127.0.0.1:0\"\n[source]\nnear = [\"127.0.0.1:1\"]\n[scopes]\na = []", "scopes.a"),
    ] {
        let message = Config::parse(Path::new("f.toml"), text).expect_err(text).to_string();
        assert!(message.contains("f.toml") && message.contains(key), "{message}");
    }
}
