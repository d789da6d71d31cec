//! One running entry: settings, start, signals and stop.
