"""HTTP/1.1: parsing, the callers' side and the servers' side."""
