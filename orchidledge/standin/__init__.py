"""The repository's own peers, for tests, benchmarks and `orchidledge try`. All listen on loopback only."""
