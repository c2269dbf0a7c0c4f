"""Admission of calls: cursor table, load, ranking, pacing, attempts. No sockets."""
