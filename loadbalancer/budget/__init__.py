"""Budgets of time and attempts that requests propagate from tier to tier; this package does no I/O."""
