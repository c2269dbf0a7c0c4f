"""The value of the control register: the configuration, the accepted changes, and the placement of shards."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from emberring.configuration.reading import pack, parse_validated, unpack
from emberring.errors import CorruptRecordError
from emberring.placement.model import Placement
from emberring.transport.messages import converter

FORMAT = b"emberring-control-1\n"
DIGEST_BYTES = 16
MAX_REMEMBERED_DIGESTS = 4096  # of accepted changes; the oldest are dropped


@attrs.frozen
class ControlState:
    """What the control nodes agree on.

    `packed` is the compressed configuration, empty before the first one. `accepted_digests` holds the digests of the
    changes that led to this state, oldest first, so that a repeated change is recognised.
    """

    version: int = 0
    packed: bytes = b""
    accepted_digests: tuple[bytes, ...] = ()
    placement: Placement | None = None

    @property
    def document(self) -> bytes:
        """The complete configuration as JSON text; empty before the first one."""
        return unpack(self.packed) if self.packed else b""

    def read_document(self) -> dict[str, Any]:
        """The complete configuration as an object; empty before the first one."""
        return parse_validated(self.document) if self.packed else {}

    def with_configuration(self, version: int, document: bytes, digest: bytes) -> ControlState:
        """The state after the change with this digest; `document` is the new configuration as JSON text."""
        digests = (*self.accepted_digests, digest)[-MAX_REMEMBERED_DIGESTS:]
        return attrs.evolve(self, version=version, packed=pack(document), accepted_digests=digests)

    def encode(self) -> bytes:
        """The value for the register."""
        head = {
            "version": self.version,
            "taken": len(self.accepted_digests),
            "packed": len(self.packed),
            "placement": converter.unstructure(self.placement, Placement | None),
        }
        return b"".join((FORMAT, orjson.dumps(head), b"\n", *self.accepted_digests, self.packed))

    @staticmethod
    def decode(value: bytes | None) -> ControlState:
        """The state in a register's value, the initial state where it is empty or None.

        `CorruptRecordError` where the bytes are no state.
        """
        if not value:
            return ControlState()
        try:
            return _decode(value)
        except Exception as error:  # any bytes may come, and the readers raise many types
            raise CorruptRecordError(f"control state: {type(error).__name__}: {error}") from error


def _decode(value: bytes) -> ControlState:
    if not value.startswith(FORMAT):
        raise ValueError("unknown format")
    end = value.index(b"\n", len(FORMAT))
    head = orjson.loads(value[len(FORMAT) : end])
    packed_start = end + 1 + head["taken"] * DIGEST_BYTES
    if len(value) != packed_start + head["packed"]:
        raise ValueError("wrong length")
    digests = value[end + 1 : packed_start]
    return ControlState(
        version=head["version"],
        packed=value[packed_start:],
        accepted_digests=tuple(
            digests[position : position + DIGEST_BYTES] for position in range(0, len(digests), DIGEST_BYTES)
        ),
        placement=converter.structure(head["placement"], Placement | None),  # type: ignore[arg-type]
    )
