"""Emulated model servers, operator and clients, for `emberring try` and for tests of the tier."""
