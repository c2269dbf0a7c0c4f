"""Trials of admission in simulated time: sites, traffic, policies, and what is counted."""
