"""The settings file of a process: TOML, fully validated, with all errors reported at once."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import attrs

from emberring.errors import SettingsError

SETTINGS_VARIABLE = "EMBERRING_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/emberring/local.toml"
# The port of a role for messages between nodes is the first port of `PortRange` plus the role's offset.
GATEWAY_PORT_OFFSET = 0
CONTROL_PORT_OFFSET = 1
STORE_PORT_OFFSET = 2
MAX_PORT = 65535


_KEY = "settings_key"

Value = TypeVar("Value", str, int, float)


def _setting(key: str, default: Value) -> Value:
    """Define a field that is read from this key of its section."""
    return attrs.field(default=default, metadata={_KEY: key})


@attrs.frozen
class Bounds:
    """The deployment's time limits, section `[Bounds]`; the suffix of each name is its unit.

    The tier itself uses only `grace_s` and `status_s`. The others are read and validated because any node's file may
    contain them. `quota_overage` is a fraction of a quota.
    """

    seed_lag_s: float = _setting("SeedLagS", 3.0)
    reuse_after_s: float = _setting("ReuseAfterS", 2.0)
    contact_ms: float = _setting("ContactMs", 3000.0)
    ack_ms: float = _setting("AckMs", 4000.0)  # the longest time to acknowledge an operator's change
    catch_up_s: float = _setting("CatchUpS", 4.9)  # the longest time for a returned replica to catch up
    drain_ms: float = _setting("DrainMs", 2000.0)
    grace_s: float = _setting("GraceS", 8.0)  # from SIGTERM to the exit of the process
    loss_slack_ms: float = _setting("LossSlackMs", 200.0)
    # The longest time for gateways to apply a new configuration.
    config_apply_ms: float = _setting("ConfigApplyMs", 2000.0)
    rollback_slack_ms: float = _setting("RollbackSlackMs", 250.0)
    max_skew_ms: float = _setting("MaxSkewMs", 5000.0)
    recovery_s: float = _setting("RecoveryS", 12.0)
    pass_ms: float = _setting("pass_ms", 120.0)
    finish_s: float = _setting("FinishS", 10.0)
    status_s: float = _setting("StatusS", 120.0)  # how long a finished job remains readable
    cancel_ms: float = _setting("CancelMs", 3000.0)
    settle_ms: float = _setting("SettleMs", 1000.0)
    quota_overage: float = _setting("QuotaOverage", 0.1)


@attrs.frozen
class Limits:
    """The resources that are allotted to this process, section `[Limits]`.

    `cpu_share` is a fraction of the machine's CPU time, `cores` a number of cores, `memory_mb` and `disk_mb` are in MB,
    `link_mbps` is in Mbit/s and `max_fds` a number of file descriptors. The store uses `disk_mb`.
    """

    cpu_share: float = _setting("CpuShare", 1.0)
    cores: float = _setting("Cores", 1.0)
    memory_mb: float = _setting("MemoryMb", 512.0)
    max_fds: int = _setting("MaxFds", 1024)
    link_mbps: float = _setting("LinkMbps", 1000.0)
    disk_mb: float = _setting("DiskMb", 0.0)


@attrs.frozen
class FaultTolerance:
    """The number of simultaneous failures that every guarantee must survive, section `[FaultTolerance]`."""

    machines: int = _setting("Machines", 1)
    zones: int = _setting("Zones", 0)
    regions: int = _setting("Regions", 0)


@attrs.frozen
class Listen:
    """Listening addresses (`ip:port`) of this process, section `[Listen]`; an empty one disables the listener."""

    frontend: str = _setting("Frontend", "")  # clients, at a gateway
    readiness: str = _setting("Readiness", "")  # probes and metrics, at a gateway
    control_plane: str = _setting("ControlPlane", "")  # operators and model servers, at a control node


@attrs.frozen
class Settings:
    """The complete settings file.

    `port_range` is the first and the last port for messages between nodes. `seed_nodes` are the control plane
    addresses (`ip:port`) of the machines that a node contacts first. `bootstrap` permits the seeds to initialize the
    register; it is set only for the first start of a deployment. `zones` maps each zone to its region. `heartbeat_ms`
    is the interval of the model servers' heartbeats. `data_dir` is the directory for the data of a control node or a
    store. `role`, `machine_class`, `serves`, `region` and `counts_for_quorum` are validated, but the tier does not use
    them.
    """

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
        """Return the address (`ip:port`) of this node for messages between nodes, given the role's port offset."""
        return f"{self.ip}:{self.port_range[0] + offset}"

    def internal_seeds(self) -> tuple[str, ...]:
        """Return the internal addresses of the control nodes on the seed machines."""
        port = self.port_range[0] + CONTROL_PORT_OFFSET
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seed_nodes)


Section = TypeVar("Section", Bounds, Limits, FaultTolerance, Listen)


class _SettingsReader:
    """Reads typed values from a TOML table and appends each error to `errors`. `prefix` is the table's path."""

    def __init__(self, table: Mapping[str, object], prefix: str, errors: list[str]) -> None:
        self._table = table
        self._prefix = prefix
        self._errors = errors

    def _add_error(self, key: str, expected: str) -> None:
        self._errors.append(f"{self._prefix}{key}: {self._table.get(key)!r} is not {expected}")

    def string(self, key: str, default: str | None = "") -> str:
        value = self._table.get(key, default)
        if isinstance(value, str):
            return value
        if value is None:
            self._errors.append(f"{self._prefix}{key}: missing")
        else:
            self._add_error(key, "a text")
        return ""

    def boolean(self, key: str) -> bool:
        value = self._table.get(key, False)
        if not isinstance(value, bool):
            self._add_error(key, "true or false")
            return False
        return value

    def number(self, key: str, default: float) -> float:
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._add_error(key, "a number")
            return default
        return value

    def integer(self, key: str, default: int) -> int:
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self._add_error(key, "a whole number")
            return default
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        value = self._table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self._add_error(key, "a list of texts")
            return ()
        return tuple(value)

    def addresses(self, key: str) -> tuple[str, ...]:
        items = self.strings(key)
        for item in items:
            if not is_address(item):
                self._errors.append(f"{self._prefix}{key}: {item!r} is not an address")
        return items

    def address(self, key: str) -> str:
        value = self.string(key)
        if value and not is_address(value):
            self._add_error(key, "an address")
        return value

    def ports(self, key: str) -> tuple[int, int]:
        value = self._table.get(key)
        if not isinstance(value, list) or len(value) != 2 or not all(_is_port(item) for item in value):
            self._add_error(key, "two ports")
            return (0, 0)
        first, last = value
        if first > last:
            self._add_error(key, "two ports in order")
        return (first, last)

    def section(self, key: str) -> _SettingsReader:
        value = self._table.get(key, {})
        if not isinstance(value, dict):
            self._add_error(key, "a table")
            value = {}
        return _SettingsReader(value, f"{self._prefix}{key}.", self._errors)

    def string_mapping(self, key: str) -> dict[str, str]:
        value = self._table.get(key, {})
        if not isinstance(value, dict) or not all(isinstance(item, str) for item in value.values()):
            self._add_error(key, "a table of texts")
            return {}
        return dict(value)


def _is_port(value: object) -> bool:
    return type(value) is int and 0 < value <= MAX_PORT


def is_address(text: str) -> bool:
    """Return whether a text is `host:port`: a host in printable ASCII without white space, and a port."""
    host, _, port = text.rpartition(":")
    printable = text.isascii() and text.isprintable() and " " not in text
    return printable and bool(host) and port.isdigit() and 0 < int(port) <= MAX_PORT


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse the settings in this TOML text; unknown keys are ignored.

    `source` is the file's name for error messages. Raises `SettingsError`, which lists every error in the text.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: {error}") from error
    errors: list[str] = []
    top = _SettingsReader(table, "", errors)
    settings = _read_settings(top)
    if errors:
        raise SettingsError(f"{source}: " + "; ".join(errors))
    return settings


def _read_settings(top: _SettingsReader) -> Settings:
    return Settings(
        node_name=top.string("NodeName", None),
        ip=top.string("Ip", None),
        zone=top.string("Zone", None),
        port_range=top.ports("PortRange"),
        seed_nodes=top.addresses("SeedNodes"),
        role=top.string("Role"),
        machine_class=top.string("MachineClass"),
        serves=top.strings("Serves"),
        region=top.string("Region"),
        bootstrap=top.boolean("Bootstrap"),
        counts_for_quorum=top.boolean("CountsForQuorum"),
        data_dir=top.string("DataDir"),
        heartbeat_ms=top.number("HeartbeatMs", 1000.0),
        zones=top.string_mapping("Zones"),
        listen=_read_section(top.section("Listen"), Listen),
        limits=_read_section(top.section("Limits"), Limits),
        fault_tolerance=_read_section(top.section("FaultTolerance"), FaultTolerance),
        bounds=_read_section(top.section("Bounds"), Bounds),
        log_level=top.string("LogLevel", "INFO"),
    )


def _read_section(reader: _SettingsReader, section: type[Section]) -> Section:
    """Read a section whose fields are defined by `_setting`; the type of a field's default is the expected type."""
    values: dict[str, Any] = {}  # by field name
    for field in attrs.fields(section):
        key = field.metadata[_KEY]
        if isinstance(field.default, str):
            values[field.name] = reader.address(key)
        elif isinstance(field.default, int):
            values[field.name] = reader.integer(key, field.default)
        else:
            values[field.name] = reader.number(key, field.default)
    return section(**values)


def settings_path(environ: Mapping[str, str] | None = None) -> Path:
    """Return the path of the settings file: the environment variable `SETTINGS_VARIABLE`, or else the default."""
    variables = os.environ if environ is None else environ
    return Path(variables.get(SETTINGS_VARIABLE) or DEFAULT_SETTINGS_PATH)


def load_settings(path: Path | None = None) -> Settings:
    """Read the settings of this process from `path` or `settings_path()`; raises `SettingsError` if invalid."""
    file = path or settings_path()
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{file}: {error}") from error
    return parse_settings(text, str(file))
