"""Thrift: a codec without I/O, the server that accepts calls, and the client that calls upstream servers."""
