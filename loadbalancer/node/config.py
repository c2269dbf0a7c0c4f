"""A node's configuration, parsed from its JSON file."""

from __future__ import annotations

from dataclasses import dataclass, replace

import orjson

from loadbalancer.core.address import Address, parse_address
from loadbalancer.discovery.watcher import MAX_NOTIFICATION_DELAY_S, ServerListUpdate, parse_server_list
from loadbalancer.interface import Settings
from loadbalancer.settings import Row, parse_settings


@dataclass(slots=True, frozen=True)
class Config:
    """A node's configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    known: ServerListUpdate
    settings: Settings
    sockets: int = 1024  # file descriptors of the whole process
    max_open: int = 20_000  # limit of concurrently open requests
    conn_idle_ms: float = 15_000.0  # idle time after which a server closes a connection
    connect_timeout_ms: float = 250.0
    ask_within_ms: float = (
        10_000.0  # an update counts as delivered after this time even if the node has not polled
    )


def parse_config(data: bytes) -> Config:
    """Parse the configuration; raises ValueError with a one-line description of the first error."""
    try:
        row: Row = orjson.loads(data)
        bounds: Row = row["settings"].get("bounds") or {}
        optional: Row = {
            "sockets": (row.get("limits") or {}).get("sockets"),
            "max_open": bounds.get("maxOpen"),
            "conn_idle_ms": bounds.get("connIdleMs"),
            "connect_timeout_ms": bounds.get("connectTimeoutMs"),
            "ask_within_ms": (row["settings"].get("invariants") or {}).get("askWithinMs"),
        }
        for key, value in optional.items():
            if value is not None and not (isinstance(value, int | float) and value > 0):
                raise ValueError(f"{key}: {value!r} is not a number above 0")
        return Config(
            name=str(row["name"]),
            listen=parse_address(row["listen"]),
            discovery=parse_address(row["discovery"]),
            seed=int(row["seed"], 16),
            known=parse_server_list(row["known"]),
            settings=_settings(row["settings"]),
            **{key: value for key, value in optional.items() if value is not None},
        )
    except KeyError as error:
        raise ValueError(f"{error.args[0]}: missing") from error
    except (TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed: {error}") from error


def _settings(row: Row) -> Settings:
    """Read the settings; a polled server list expires, because discovery may become unreachable."""
    settings = parse_settings(row)
    return (
        replace(settings, list_expires_ms=MAX_NOTIFICATION_DELAY_S * 1000.0)
        if settings.ask_discovery
        else settings
    )
