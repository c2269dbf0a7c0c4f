"""The repository's own peers, for tests, benchmarks and `loadbalancer try`. All listen on loopback only."""
