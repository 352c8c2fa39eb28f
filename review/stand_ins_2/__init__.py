"""Stand-ins and process control of the cases of the second review."""
