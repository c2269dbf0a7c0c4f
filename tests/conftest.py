"""Hypothesis settings of all tests: deterministic examples and no time limit per example."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
