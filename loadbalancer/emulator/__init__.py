"""Emulated servers, callers and control planes for tests, benchmarks and `loadbalancer try`; on loopback only."""
