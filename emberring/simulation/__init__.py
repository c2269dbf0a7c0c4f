"""Deterministic simulators of the tier: register, control plane, batch jobs, admission, and scale."""
