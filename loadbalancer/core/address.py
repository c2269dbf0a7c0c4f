"""Addresses of listeners: host and port."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: object) -> Address:
    """Parse `host:port`, an IPv6 host in brackets; raises ValueError on anything else."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address and a port")
    return host.removeprefix("[").removesuffix("]"), int(port)
