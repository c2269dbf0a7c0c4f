"""Budgets of time and attempts that a request carries from tier to tier; decided without I/O."""
