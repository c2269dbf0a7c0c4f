"""Simulator of batch jobs: real replicas and owners on simulated stores, gateways and clients."""
