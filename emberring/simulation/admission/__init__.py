"""Trials of admission in simulated time: sites, traffic, policies and metrics."""
