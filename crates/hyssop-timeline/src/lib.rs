//! Merges the events of all processes into one ordered time line
