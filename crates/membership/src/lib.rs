//! Links between entries and the view of their peers.
