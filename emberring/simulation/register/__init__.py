"""Deterministic simulation and model checker of the register."""
