"""Emulated model servers, operator and clients, for `emberring try` and the tests of the tier."""
