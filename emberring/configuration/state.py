"""The value of the replicated register: the configuration, the accepted changes, and the placement of shards."""

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
MAX_REMEMBERED_DIGESTS = 4096  # of accepted changes; the oldest are dropped first


@attrs.frozen
class ControlState:
    """The state replicated by the control nodes.

    `packed` is the compressed configuration, empty before the first one. `accepted_digests` has the digests of the
    changes that led to this state, oldest first; with them a repeated change is recognised.
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
        """The state after a change; `document` is the new configuration as JSON text, `digest` that of the change."""
        digests = (*self.accepted_digests, digest)[-MAX_REMEMBERED_DIGESTS:]
        return attrs.evolve(self, version=version, packed=pack(document), accepted_digests=digests)

    def encode(self) -> bytes:
        """Encode the state as the value of the register."""
        header = {
            "version": self.version,
            "taken": len(self.accepted_digests),
            "packed": len(self.packed),
            "placement": converter.unstructure(self.placement, Placement | None),
        }
        return b"".join((FORMAT, orjson.dumps(header), b"\n", *self.accepted_digests, self.packed))

    @staticmethod
    def decode(value: bytes | None) -> ControlState:
        """Decode a value of the register; an empty one or None is the initial state.

        Raises `CorruptRecordError` if the bytes are not an encoded state.
        """
        if not value:
            return ControlState()
        try:
            return _decode(value)
        except Exception as error:  # the bytes are arbitrary, and the parsers raise many types
            raise CorruptRecordError(f"control state: {type(error).__name__}: {error}") from error


def _decode(value: bytes) -> ControlState:
    if not value.startswith(FORMAT):
        raise ValueError("unknown format")
    end = value.index(b"\n", len(FORMAT))
    header = orjson.loads(value[len(FORMAT) : end])
    packed_start = end + 1 + header["taken"] * DIGEST_BYTES
    if len(value) != packed_start + header["packed"]:
        raise ValueError("the length does not match the header")
    digests = value[end + 1 : packed_start]
    return ControlState(
        version=header["version"],
        packed=value[packed_start:],
        accepted_digests=tuple(
            digests[position : position + DIGEST_BYTES] for position in range(0, len(digests), DIGEST_BYTES)
        ),
        placement=converter.structure(header["placement"], Placement | None),  # type: ignore[arg-type]
    )
