"""Thrift: a codec without I/O, the callers' side and the servers' side."""
