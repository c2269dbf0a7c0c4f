"""The value of the control register: the configuration, what was taken, and the placement of shards."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from emberring.configuration.reading import pack, read_checked, unpack
from emberring.errors import CorruptRecordError
from emberring.placement.model import Placement
from emberring.transport.messages import converter

FORMAT = b"emberring-control-1\n"
DIGEST_BYTES = 16
MOST_TAKEN = 4096  # digests of changes that are remembered; the oldest give way


@attrs.frozen
class ControlState:
    """What the control nodes agree on. `packed` is the compressed document, empty before the first one; `taken`
    has the digests of the changes that led here, oldest first."""

    version: int = 0
    packed: bytes = b""
    taken: tuple[bytes, ...] = ()
    placement: Placement | None = None

    @property
    def document(self) -> bytes:
        """The whole configuration as JSON text; empty before the first one."""
        return unpack(self.packed) if self.packed else b""

    def read_document(self) -> dict[str, Any]:
        """The whole configuration as an object; empty before the first one."""
        return read_checked(self.document) if self.packed else {}

    def with_configuration(self, version: int, document: bytes, digest: bytes) -> ControlState:
        """The state after a change was taken."""
        taken = (*self.taken, digest)[-MOST_TAKEN:]
        return attrs.evolve(self, version=version, packed=pack(document), taken=taken)

    def encode(self) -> bytes:
        """The bytes that the register keeps."""
        head = {
            "version": self.version,
            "taken": len(self.taken),
            "packed": len(self.packed),
            "placement": converter.unstructure(self.placement, Placement | None),
        }
        return b"".join((FORMAT, orjson.dumps(head), b"\n", *self.taken, self.packed))

    @staticmethod
    def decode(value: bytes | None) -> ControlState:
        """The state in a register's value; the first state where there is none yet, or an empty one."""
        if not value:
            return ControlState()
        try:
            return _decode(value)
        except Exception as error:
            raise CorruptRecordError(f"control state: {type(error).__name__}: {error}") from error


def _decode(value: bytes) -> ControlState:
    if not value.startswith(FORMAT):
        raise ValueError("unknown format")
    end = value.index(b"\n", len(FORMAT))
    head = orjson.loads(value[len(FORMAT) : end])
    begin_packed = end + 1 + head["taken"] * DIGEST_BYTES
    if len(value) != begin_packed + head["packed"]:
        raise ValueError("wrong length")
    digests = value[end + 1 : begin_packed]
    return ControlState(
        version=head["version"],
        packed=value[begin_packed:],
        taken=tuple(
            digests[position : position + DIGEST_BYTES] for position in range(0, len(digests), DIGEST_BYTES)
        ),
        placement=converter.structure(head["placement"], Placement | None),  # type: ignore[arg-type]
    )
