"""A simulated folder of files on a disk that can lose power: synced data stays, later writes are kept, torn or lost."""

from __future__ import annotations

import random

import attrs

ALL_LOST_SHARE = 0.3
"""Share of power losses in which no write after the last sync survives."""


@attrs.define(eq=False)
class SimulatedFile:
    """A file: its content as the process sees it (`current`), and its content that survives power loss (`durable`)."""

    name: str
    folder: SimulatedFolder
    durable: bytearray = attrs.field(factory=bytearray)
    current: bytearray = attrs.field(factory=bytearray)
    named: bool = False

    def size(self) -> int:
        """Return its length in bytes."""
        return len(self.current)

    def resize(self, length: int) -> None:
        """Set its length."""
        self._apply_step(_Step(self, length=length))

    def read(self, offset: int, length: int) -> bytes:
        """Return at most `length` bytes from `offset` on."""
        return bytes(self.current[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        """Write these bytes at `offset`."""
        self._apply_step(_Step(self, offset=offset, data=bytes(data)))

    def sync(self) -> None:
        """Make all writes so far durable."""
        self._apply_step(_Step(self, sync=True))

    def close(self) -> None:
        """Close the file; there is nothing to release."""

    def _apply_step(self, step: _Step) -> None:
        self.folder.check()
        self.folder.steps.append(step)
        step.apply(self.current)


@attrs.frozen(eq=False)
class _Step:
    """A write, a change of length, or a sync."""

    file: SimulatedFile
    offset: int = 0
    data: bytes = b""
    length: int | None = None
    sync: bool = False

    def apply(self, content: bytearray) -> None:
        """Apply the step to this content."""
        if self.length is not None:
            if self.length < len(content):
                del content[self.length :]
            content.extend(bytes(self.length - len(content)))
        elif self.data:
            if len(content) < self.offset:
                content.extend(bytes(self.offset - len(content)))
            content[self.offset : self.offset + len(self.data)] = self.data


class SimulatedFolder:
    """A machine's disk.

    Steps since the last `settle` are in flight: a kill or a power loss takes effect after a random one of them.

    Attributes:
        files: by name.
        steps: the steps in flight.
        refusing: whether every step fails with `OSError`.
        refuse_after: number of steps after which every step fails; None means never.
    """

    def __init__(self) -> None:
        self.files: dict[str, SimulatedFile] = {}
        self.steps: list[_Step] = []
        self.refusing = False
        self.refuse_after: int | None = None

    def check(self) -> None:
        """Raise `OSError` if the disk is set to fail."""
        if self.refuse_after is not None:
            self.refuse_after -= 1
        if self.refusing or (self.refuse_after is not None and self.refuse_after < 0):
            raise OSError("simulated disk failure")

    def names(self) -> list[str]:
        """Return the names of its files."""
        return sorted(self.files)

    def open(self, name: str) -> SimulatedFile:
        """Return an existing file."""
        return self.files[name]

    def create(self, name: str) -> SimulatedFile:
        """Create an empty file."""
        self.check()
        self.files[name] = SimulatedFile(name, self)
        return self.files[name]

    def sync(self) -> None:
        """Do nothing: the sync of a file also makes its name durable."""

    def settle(self) -> None:
        """Complete the synced steps in flight: their data becomes durable."""
        remaining: list[_Step] = []
        last_sync = {step.file: index for index, step in enumerate(self.steps) if step.sync}
        for index, step in enumerate(self.steps):
            if index <= last_sync.get(step.file, -1):
                step.apply(step.file.durable)
                step.file.named = step.file.named or step.sync
            else:
                remaining.append(step)
        self.steps = remaining

    def kill(self, rng: random.Random) -> None:
        """Kill the process during the steps in flight: those after a random one never happen, the others stay."""
        done = self.steps[: rng.randint(0, len(self.steps))]
        for file in self.files.values():
            file.current = bytearray(file.durable)
        for step in done:
            step.apply(step.file.current)
        self.steps = done
        self.settle()

    def lose_power(self, rng: random.Random) -> None:
        """Lose power during the steps in flight: unsynced data is kept, torn or lost."""
        self.kill(rng)
        all_lost = rng.random() < ALL_LOST_SHARE
        for step in self.steps:
            draw = 0.0 if all_lost else rng.random()
            if draw > 0.6:
                step.apply(step.file.durable)
            elif draw > 0.3 and step.data:
                kept = step.data[: rng.randrange(len(step.data))]
                attrs.evolve(step, data=kept).apply(step.file.durable)
        self.steps = []
        for name in [name for name, file in self.files.items() if not file.named]:
            if all_lost or rng.random() < 0.5:
                del self.files[name]
        for file in self.files.values():
            file.current = bytearray(file.durable)

    def wipe(self) -> None:
        """Erase the disk and clear its failure."""
        self.files = {}
        self.steps = []
        self.refusing = False
