//! Documents in force, their confirmation and their edits.
