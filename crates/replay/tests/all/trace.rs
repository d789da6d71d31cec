//! Guards against traces that fail in the middle of a replay, or that are read
//! as something other than what they state.

use std::time::Duration;

use carobdrift_replay::trace::{Action, PlatformFault, Trace};

/// A service and a block that further lines may name; 3 lines.
const BASE: &str = "\
entries 3
service sheets targets=4 slots=2 zones=a,b mean_ms=10 sigma=0.6 noise_factor=4 noise_ms=60 noise_percent=8
block faults policies=adaptive:steered,round-robin:spread rounds=2 seconds=5
";

fn committed(name: &str) -> Trace {
    let path = format!("{}/../../traces/{name}.trace", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap().parse().unwrap()
}

fn refusal(text: &str) -> String {
    text.parse::<Trace>().unwrap_err().to_string()
}

#[test]
fn committed_traces_parse() {
    for (name, entries, expectations) in [("lanemark", 15, 9), ("tortena", 15, 9), ("pairs", 6, 6)]
    {
        let trace = committed(name);

        assert_eq!(trace.entries, entries, "{name}");
        assert_eq!(trace.services.len(), 2, "{name}");
        assert_eq!(trace.streams.len(), 2, "{name}");
        assert_eq!(trace.expectations.len(), expectations, "{name}");
    }
}

#[test]
fn statements_are_read_as_stated() {
    let lines = "\
# a comment

calls sheets GET /meets load=0.5 keys=issued
in faults at 1.5 pause entry 2 for 0.5
in faults at 2 platform lose-replies
in faults at 3 platform swallow
";

    let trace: Trace = format!("{BASE}{lines}").parse().unwrap();

    assert!(trace.streams[0].keyed);
    assert!((trace.streams[0].load - 0.5).abs() < 1e-9);
    let block = &trace.blocks[0];
    assert_eq!(block.policies[1].to_string(), "round-robin:spread");
    assert_eq!(block.warmup, Duration::ZERO);
    assert_eq!(block.events[0].offset, Duration::from_millis(1500));
    assert!(matches!(
        block.events[0].action,
        Action::Pause { entry: 2, duration } if duration == Duration::from_millis(500)
    ));
    assert!(matches!(
        block.events[1].action,
        Action::Platform(PlatformFault::LoseReplies)
    ));
    assert!(matches!(
        block.events[2].action,
        Action::Platform(PlatformFault::Swallow)
    ));
}

#[test]
fn malformed_line_is_refused_with_its_number() {
    let cases = [
        ("entry 3", r#"unknown statement "entry""#),
        ("callers", "callers is missing"),
        ("callers 0", r#"callers can't be "0""#),
        ("seed -1", r#"seed can't be "-1""#),
        ("entries 4", "entries must stand above all blocks"),
        ("service draws targets=4", "slots is missing"),
        ("service draws targets=0", r#"targets can't be "0""#),
        ("calls sheets GET", "path is missing"),
        ("calls sheets GET /meets", "load is missing"),
        (
            "calls draws GET /meets load=1",
            r#"no service "draws" above"#,
        ),
        ("block b rounds=1 seconds=1", "policies is missing"),
        (
            "block b policies=adaptive rounds=1 seconds=1",
            r#"policy can't be "adaptive""#,
        ),
        (
            "block b policies=adaptive:near rounds=1 seconds=1",
            r#"policy can't be "adaptive:near""#,
        ),
        (
            "block b policies=fastest:spread rounds=1 seconds=1",
            r#"policy can't be "fastest:spread""#,
        ),
        (
            "block b policies=adaptive:spread rounds=1 seconds=-1",
            r#"seconds can't be "-1""#,
        ),
        ("in choice at 1 join", r#"no block "choice" above"#),
        ("in faults 1 join", r#"at can't be "1""#),
        ("in faults at 1 rest", r#"event can't be "rest""#),
        ("in faults at 1 pause entry 2", "for is missing"),
        ("in faults at 1 kill entry 0", "no entry 0 at that time"),
        ("in faults at 1 kill entry 4", "no entry 4 at that time"),
        ("in faults at 1 stop entry 4", "no entry 4 at that time"),
        (
            "in faults at 1 pause entry 4 for 1",
            "no entry 4 at that time",
        ),
        ("in faults at 1 platform up", r#"fault can't be "up""#),
        ("in faults at 1 edit draws", r#"no service "draws" above"#),
        (
            "in faults at 1 slow-probes draws 1",
            r#"no service "draws" above"#,
        ),
        (
            "in faults at 1 drain draws 1",
            r#"no service "draws" above"#,
        ),
        (
            "in faults at 1 drain sheets 5",
            r#"service "sheets" has no target 5"#,
        ),
        (
            "in faults at 1 drain sheets 0",
            r#"service "sheets" has no target 0"#,
        ),
        ("direct draws calls=1", r#"no service "draws" above"#),
        ("direct sheets", "calls is missing"),
        ("expect speed <= 1", r#"quantity can't be "speed""#),
        ("expect lost < 0", r#"<= can't be "<""#),
        ("expect lost <= few", r#"limit can't be "few""#),
        (
            "expect p99 draws faults adaptive:steered <= 1 of round-robin:spread",
            r#"no service "draws" above"#,
        ),
        (
            "expect p99 sheets choice adaptive:steered <= 1 of round-robin:spread",
            r#"no block "choice" above"#,
        ),
        (
            "expect p99 sheets faults adaptive:spread <= 1 of round-robin:spread",
            r#"block "faults" does not run policy adaptive:spread"#,
        ),
        (
            "expect p99 sheets faults adaptive:steered <= 1 of power-of-two:spread",
            r#"block "faults" does not run policy power-of-two:spread"#,
        ),
    ];
    for (line, problem) in cases {
        // The comment and the empty line count.
        let text = format!("{BASE}# comment\n\n{line}\nseed 1\n");

        assert_eq!(refusal(&text), format!("line 6: {problem}"), "{line}");
    }
}

#[test]
fn trace_without_a_service_is_refused() {
    assert_eq!(
        refusal("entries 3\nseed 1\n"),
        "line 2: the trace defines no service"
    );
    assert_eq!(refusal(""), "line 1: the trace defines no service");
}

#[test]
fn entry_that_joined_earlier_can_be_named() {
    let joined = format!("{BASE}in faults at 2 join\n");

    let later: Result<Trace, _> = format!("{joined}in faults at 3 kill entry 4\n").parse();
    let earlier = refusal(&format!("{joined}in faults at 1 kill entry 4\n"));

    assert!(later.is_ok());
    assert_eq!(earlier, "line 5: no entry 4 at that time");
}

#[test]
fn entries_that_joined_in_each_turn_of_an_earlier_block_can_be_named() {
    // 2 policies x 2 rounds, one join each.
    let text = format!(
        "{BASE}in faults at 2 join\nblock more policies=adaptive:steered rounds=1 seconds=1\n"
    );

    let last: Result<Trace, _> = format!("{text}in more at 0 kill entry 7\n").parse();
    let beyond = refusal(&format!("{text}in more at 0 kill entry 8\n"));

    assert!(last.is_ok());
    assert_eq!(beyond, "line 6: no entry 8 at that time");
}
