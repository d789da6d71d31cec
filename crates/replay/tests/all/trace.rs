//! Parser tests: an invalid trace must be rejected before its replay starts, and
//! a valid one parsed to the values that it states.

use std::time::Duration;

use carobdrift_replay::trace::{Action, PlatformFault, Trace};

/// Trace of 3 lines that defines a service and a block for further lines.
const BASE: &str = "\
entries 3
service sheets targets=4 slots=2 zones=a,b mean_ms=10 sigma=0.6 noise_factor=4 noise_ms=60 noise_percent=8
block faults policies=adaptive:steered,round-robin:spread rounds=2 seconds=5
";

/// Invalid lines after [`BASE`], and the expected errors.
const MALFORMED_LINES: &[(&str, &str)] = &[
    ("entry 3", r#"unknown statement "entry""#),
    ("callers", "`callers` is missing"),
    ("callers 0", r#"invalid value "0" for `callers`"#),
    ("seed -1", r#"invalid value "-1" for `seed`"#),
    ("entries 4", "`entries` must come before all blocks"),
    ("service draws targets=4", "`slots` is missing"),
    (
        "service draws targets=0",
        r#"invalid value "0" for `targets`"#,
    ),
    ("calls sheets GET", "`path` is missing"),
    ("calls sheets GET /meets", "`load` is missing"),
    (
        "calls draws GET /meets load=1",
        r#"service "draws" is not defined above"#,
    ),
    ("block b rounds=1 seconds=1", "`policies` is missing"),
    (
        "block b policies=adaptive rounds=1 seconds=1",
        r#"invalid value "adaptive" for `policy`"#,
    ),
    (
        "block b policies=adaptive:near rounds=1 seconds=1",
        r#"invalid value "adaptive:near" for `policy`"#,
    ),
    (
        "block b policies=fastest:spread rounds=1 seconds=1",
        r#"invalid value "fastest:spread" for `policy`"#,
    ),
    (
        "block b policies=adaptive:spread rounds=1 seconds=-1",
        r#"invalid value "-1" for `seconds`"#,
    ),
    (
        "in choice at 1 join",
        r#"block "choice" is not defined above"#,
    ),
    ("in faults 1 join", r#"invalid value "1" for `at`"#),
    ("in faults at 1 rest", r#"invalid value "rest" for `event`"#),
    ("in faults at 1 pause entry 2", "`for` is missing"),
    (
        "in faults at 1 kill entry 0",
        "entry 0 has not been started at that time",
    ),
    (
        "in faults at 1 kill entry 4",
        "entry 4 has not been started at that time",
    ),
    (
        "in faults at 1 stop entry 4",
        "entry 4 has not been started at that time",
    ),
    (
        "in faults at 1 pause entry 4 for 1",
        "entry 4 has not been started at that time",
    ),
    (
        "in faults at 1 platform up",
        r#"invalid value "up" for `fault`"#,
    ),
    (
        "in faults at 1 edit draws",
        r#"service "draws" is not defined above"#,
    ),
    (
        "in faults at 1 slow-probes draws 1",
        r#"service "draws" is not defined above"#,
    ),
    (
        "in faults at 1 drain draws 1",
        r#"service "draws" is not defined above"#,
    ),
    (
        "in faults at 1 drain sheets 5",
        r#"service "sheets" has no target 5"#,
    ),
    (
        "in faults at 1 drain sheets 0",
        r#"service "sheets" has no target 0"#,
    ),
    (
        "direct draws calls=1",
        r#"service "draws" is not defined above"#,
    ),
    ("direct sheets", "`calls` is missing"),
    (
        "expect speed <= 1",
        r#"invalid value "speed" for `quantity`"#,
    ),
    ("expect lost < 0", r#"invalid value "<" for `<=`"#),
    ("expect lost <= few", r#"invalid value "few" for `limit`"#),
    (
        "expect p99 draws faults adaptive:steered <= 1 of round-robin:spread",
        r#"service "draws" is not defined above"#,
    ),
    (
        "expect p99 sheets choice adaptive:steered <= 1 of round-robin:spread",
        r#"block "choice" is not defined above"#,
    ),
    (
        "expect p99 sheets faults adaptive:spread <= 1 of round-robin:spread",
        r#"block "faults" does not include policy adaptive:spread"#,
    ),
    (
        "expect p99 sheets faults adaptive:steered <= 1 of power-of-two:spread",
        r#"block "faults" does not include policy power-of-two:spread"#,
    ),
];

fn committed_trace(name: &str) -> Trace {
    let path = format!("{}/../../traces/{name}.trace", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap().parse().unwrap()
}

fn parse_error(text: &str) -> String {
    text.parse::<Trace>().unwrap_err().to_string()
}

#[test]
fn committed_traces_parse() {
    for (name, entries, expectations) in [("lanemark", 15, 9), ("tortena", 15, 9), ("pairs", 6, 6)]
    {
        let trace = committed_trace(name);

        assert_eq!(trace.entries, entries, "{name}");
        assert_eq!(trace.services.len(), 2, "{name}");
        assert_eq!(trace.streams.len(), 2, "{name}");
        assert_eq!(trace.expectations.len(), expectations, "{name}");
    }
}

#[test]
fn statements_are_parsed_to_the_stated_values() {
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
fn malformed_line_is_rejected_with_its_number() {
    for (line, problem) in MALFORMED_LINES {
        // Comments and empty lines count towards line numbers.
        let text = format!("{BASE}# comment\n\n{line}\nseed 1\n");

        assert_eq!(parse_error(&text), format!("line 6: {problem}"), "{line}");
    }
}

#[test]
fn trace_without_a_service_is_rejected() {
    assert_eq!(
        parse_error("entries 3\nseed 1\n"),
        "line 2: the trace defines no service"
    );
    assert_eq!(parse_error(""), "line 1: the trace defines no service");
}

#[test]
fn event_may_name_an_entry_that_joined_earlier() {
    let joined = format!("{BASE}in faults at 2 join\n");

    let later: Result<Trace, _> = format!("{joined}in faults at 3 kill entry 4\n").parse();
    let earlier = parse_error(&format!("{joined}in faults at 1 kill entry 4\n"));

    assert!(later.is_ok());
    assert_eq!(earlier, "line 5: entry 4 has not been started at that time");
}

#[test]
fn event_may_name_entries_that_joined_in_any_turn_of_an_earlier_block() {
    // The 2 policies x 2 rounds of the block start 4 entries besides the initial 3.
    let text = format!(
        "{BASE}in faults at 2 join\nblock more policies=adaptive:steered rounds=1 seconds=1\n"
    );

    let last: Result<Trace, _> = format!("{text}in more at 0 kill entry 7\n").parse();
    let beyond = parse_error(&format!("{text}in more at 0 kill entry 8\n"));

    assert!(last.is_ok());
    assert_eq!(beyond, "line 6: entry 8 has not been started at that time");
}
