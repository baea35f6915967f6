use super::*;

#[test]
fn valid_commands_are_parsed_and_others_rejected() {
    assert_eq!(parse_command(b"PING"), Ok(Command::Ping));
    assert_eq!(parse_command(b" INFO \r"), Ok(Command::Info));
    assert_eq!(parse_command(b"DETACH s-1"), Ok(Command::Detach("s-1")));
    assert_eq!(parse_command(b"ATTACH  s-1 "), Ok(Command::Attach("s-1")));
    for bad in [
        &b"DETACH"[..],
        b"ATTACH a b",
        b"",
        b"\r",
        b"ping",
        b"PING PONG",
        b"INFO x",
        b"QUIT",
        b"\xff\xfe",
        b"\0",
    ] {
        assert!(parse_command(bad).is_err(), "{bad:?}");
    }
}
