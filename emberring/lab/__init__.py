"""Experiments: load, simulation, reports."""
