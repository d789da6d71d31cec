//! Replays traces against real entries and measures them.

fn main() -> eyre::Result<()> {
    for file in std::env::args().skip(1) {
        let trace: carobdrift_replay::trace::Trace = std::fs::read_to_string(&file)?.parse()?;
        println!("{trace:#?}");
    }
    Ok(())
}
