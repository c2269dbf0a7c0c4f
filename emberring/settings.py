"""The settings file of a process: read by `tomllib`, checked whole, every mistake named at once."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from emberring.errors import SettingsError

SETTINGS_VARIABLE = "EMBERRING_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/emberring/local.toml"
GATEWAY_PORT_OFFSET = 0
CONTROL_PORT_OFFSET = 1
STORE_PORT_OFFSET = 2


@attrs.frozen
class Bounds:
    """The deployment's bounds; the unit stands at the end of each name."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.9
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 5000.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    finish_s: float = 10.0
    status_s: float = 120.0
    cancel_ms: float = 3000.0
    settle_ms: float = 1000.0
    quota_overage: float = 0.1


@attrs.frozen
class Limits:
    """What the machine grants this process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 512.0
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@attrs.frozen
class FaultTolerance:
    """What may be lost at once while every rule is kept."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@attrs.frozen
class Listen:
    """Addresses (`ip:port`) at which others reach this process; empty where it does not serve them."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


@attrs.frozen
class Settings:
    """The whole settings file. `port_range` holds the first and the last free port for internal use."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    role: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    region: str = ""
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1000.0
    zones: dict[str, str] = attrs.field(factory=dict)
    listen: Listen = attrs.field(factory=Listen)
    limits: Limits = attrs.field(factory=Limits)
    fault_tolerance: FaultTolerance = attrs.field(factory=FaultTolerance)
    bounds: Bounds = attrs.field(factory=Bounds)
    log_level: str = "INFO"

    def internal_address(self, offset: int) -> str:
        """This node's address for messages between nodes, by its role's port offset."""
        return f"{self.ip}:{self.port_range[0] + offset}"

    def internal_seeds(self) -> tuple[str, ...]:
        """The internal addresses of the control nodes on the seed machines."""
        port = self.port_range[0] + CONTROL_PORT_OFFSET
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seed_nodes)


class _Reader:
    """Reads typed values out of a table and collects every mistake."""

    def __init__(self, table: Mapping[str, Any], where: str, mistakes: list[str]) -> None:
        self._table = table
        self._where = where
        self._mistakes = mistakes

    def _wrong(self, key: str, wanted: str) -> None:
        self._mistakes.append(f"{self._where}{key}: {self._table.get(key)!r} is not {wanted}")

    def text(self, key: str, default: str | None = "") -> str:
        value = self._table.get(key, default)
        if isinstance(value, str):
            return value
        if value is None:
            self._mistakes.append(f"{self._where}{key}: missing")
        else:
            self._wrong(key, "a text")
        return ""

    def flag(self, key: str) -> bool:
        value = self._table.get(key, False)
        if not isinstance(value, bool):
            self._wrong(key, "true or false")
            return False
        return value

    def number(self, key: str, default: float) -> float:
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._wrong(key, "a number")
            return default
        return value

    def whole(self, key: str, default: int) -> int:
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self._wrong(key, "a whole number")
            return default
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self._wrong(key, "a list of texts")
            return ()
        return tuple(value)

    def addresses(self, key: str) -> tuple[str, ...]:
        found = self.texts(key)
        for item in found:
            if not _is_address(item):
                self._mistakes.append(f"{self._where}{key}: {item!r} is not an address")
        return found

    def address(self, key: str) -> str:
        value = self.text(key)
        if value and not _is_address(value):
            self._wrong(key, "an address")
        return value

    def ports(self, key: str) -> tuple[int, int]:
        value = self._table.get(key)
        good = isinstance(value, list) and len(value) == 2
        if not good or not all(type(item) is int and 0 < item < 65536 for item in value or ()):
            self._wrong(key, "two ports")
            return (0, 0)
        assert value is not None
        if value[0] > value[1]:
            self._wrong(key, "two ports in order")
        return (value[0], value[1])

    def table(self, key: str) -> _Reader:
        value = self._table.get(key, {})
        if not isinstance(value, dict):
            self._wrong(key, "a table")
            value = {}
        return _Reader(value, f"{self._where}{key}.", self._mistakes)

    def mapping(self, key: str) -> dict[str, str]:
        value = self._table.get(key, {})
        if not isinstance(value, dict) or not all(isinstance(item, str) for item in value.values()):
            self._wrong(key, "a table of texts")
            return {}
        return dict(value)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def parse_settings(text: str, where: str = "settings") -> Settings:
    """The settings in this text; `SettingsError` names every mistake. Unknown keys are skipped."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{where}: {error}") from error
    mistakes: list[str] = []
    top = _Reader(table, "", mistakes)
    settings = _read_all(top)
    if mistakes:
        raise SettingsError(f"{where}: " + "; ".join(mistakes))
    return settings


def _read_all(top: _Reader) -> Settings:
    return Settings(
        node_name=top.text("NodeName", None),
        ip=top.text("Ip", None),
        zone=top.text("Zone", None),
        port_range=top.ports("PortRange"),
        seed_nodes=top.addresses("SeedNodes"),
        role=top.text("Role"),
        machine_class=top.text("MachineClass"),
        serves=top.texts("Serves"),
        region=top.text("Region"),
        bootstrap=top.flag("Bootstrap"),
        counts_for_quorum=top.flag("CountsForQuorum"),
        data_dir=top.text("DataDir"),
        heartbeat_ms=top.number("HeartbeatMs", 1000.0),
        zones=top.mapping("Zones"),
        listen=_read_listen(top.table("Listen")),
        limits=_read_limits(top.table("Limits")),
        fault_tolerance=_read_tolerance(top.table("FaultTolerance")),
        bounds=_read_bounds(top.table("Bounds")),
        log_level=top.text("LogLevel", "INFO"),
    )


def _read_listen(table: _Reader) -> Listen:
    return Listen(
        frontend=table.address("Frontend"),
        readiness=table.address("Readiness"),
        control_plane=table.address("ControlPlane"),
    )


def _read_limits(table: _Reader) -> Limits:
    return Limits(
        cpu_share=table.number("CpuShare", 1.0),
        cores=table.number("Cores", 1.0),
        memory_mb=table.number("MemoryMb", 512.0),
        max_fds=table.whole("MaxFds", 1024),
        link_mbps=table.number("LinkMbps", 1000.0),
        disk_mb=table.number("DiskMb", 0.0),
    )


def _read_tolerance(table: _Reader) -> FaultTolerance:
    return FaultTolerance(
        machines=table.whole("Machines", 1),
        zones=table.whole("Zones", 0),
        regions=table.whole("Regions", 0),
    )


def _read_bounds(table: _Reader) -> Bounds:
    return Bounds(
        seed_lag_s=table.number("SeedLagS", 3.0),
        reuse_after_s=table.number("ReuseAfterS", 2.0),
        contact_ms=table.number("ContactMs", 3000.0),
        ack_ms=table.number("AckMs", 4000.0),
        catch_up_s=table.number("CatchUpS", 4.9),
        drain_ms=table.number("DrainMs", 2000.0),
        grace_s=table.number("GraceS", 8.0),
        loss_slack_ms=table.number("LossSlackMs", 200.0),
        config_apply_ms=table.number("ConfigApplyMs", 2000.0),
        rollback_slack_ms=table.number("RollbackSlackMs", 250.0),
        max_skew_ms=table.number("MaxSkewMs", 5000.0),
        recovery_s=table.number("RecoveryS", 12.0),
        pass_ms=table.number("pass_ms", 120.0),
        finish_s=table.number("FinishS", 10.0),
        status_s=table.number("StatusS", 120.0),
        cancel_ms=table.number("CancelMs", 3000.0),
        settle_ms=table.number("SettleMs", 1000.0),
        quota_overage=table.number("QuotaOverage", 0.1),
    )


def settings_path(environ: Mapping[str, str] | None = None) -> Path:
    """Where the settings file of this process lies."""
    variables = os.environ if environ is None else environ
    return Path(variables.get(SETTINGS_VARIABLE) or DEFAULT_SETTINGS_PATH)


def load_settings(path: Path | None = None) -> Settings:
    """The settings of this process, from `path` or the environment's; `SettingsError` if they can't be used."""
    place = path or settings_path()
    try:
        text = place.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{place}: {error}") from error
    return parse_settings(text, str(place))
