"""Stand-ins for external systems, for the tests, the demos and a first trial."""
