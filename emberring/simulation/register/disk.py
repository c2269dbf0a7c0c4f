"""A folder of files that loses power: what was synced stays, each later write is there, torn or absent."""

from __future__ import annotations

import random

import attrs

ALL_GONE_SHARE = 0.3  # of losses of power: no write after the last sync survives


@attrs.define(eq=False)
class SimulatedFile:
    """A file: what the process sees, and what lies on the disk for certain."""

    name: str
    folder: SimulatedFolder
    durable: bytearray = attrs.field(factory=bytearray)
    current: bytearray = attrs.field(factory=bytearray)
    named: bool = False

    def size(self) -> int:
        """Its length in bytes."""
        return len(self.current)

    def resize(self, length: int) -> None:
        """Set its length."""
        self._do(_Step(self, length=length))

    def read(self, offset: int, length: int) -> bytes:
        """At most so many bytes from there."""
        return bytes(self.current[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        """These bytes there."""
        self._do(_Step(self, offset=offset, data=bytes(data)))

    def sync(self) -> None:
        """Make it last."""
        self._do(_Step(self, sync=True))

    def close(self) -> None:
        """Nothing to let go of."""

    def _do(self, step: _Step) -> None:
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
        """Carry it out on these bytes."""
        if self.length is not None:
            if self.length < len(content):
                del content[self.length :]
            content.extend(bytes(self.length - len(content)))
        elif self.data:
            if len(content) < self.offset:
                content.extend(bytes(self.offset - len(content)))
            content[self.offset : self.offset + len(self.data)] = self.data


class SimulatedFolder:
    """A machine's disk. Steps since `settle` are under way: a kill or a loss of power strikes among them."""

    def __init__(self) -> None:
        self.files: dict[str, SimulatedFile] = {}
        self.steps: list[_Step] = []
        self.refusing = False
        self.refuse_after: int | None = None  # so many more steps; then it refuses

    def check(self) -> None:
        """Raise where the disk refuses."""
        if self.refuse_after is not None:
            self.refuse_after -= 1
        if self.refusing or (self.refuse_after is not None and self.refuse_after < 0):
            raise OSError("the disk refuses")

    def names(self) -> list[str]:
        """The names in it."""
        return sorted(self.files)

    def open(self, name: str) -> SimulatedFile:
        """An existing file."""
        return self.files[name]

    def create(self, name: str) -> SimulatedFile:
        """A new, empty file."""
        self.check()
        self.files[name] = SimulatedFile(name, self)
        return self.files[name]

    def sync(self) -> None:
        """Make its names last; here a file's own sync does that."""

    def settle(self) -> None:
        """All steps so far are done: what was synced lasts."""
        left: list[_Step] = []
        last_sync = {step.file: index for index, step in enumerate(self.steps) if step.sync}
        for index, step in enumerate(self.steps):
            if index <= last_sync.get(step.file, -1):
                step.apply(step.file.durable)
                step.file.named = step.file.named or step.sync
            else:
                left.append(step)
        self.steps = left

    def kill(self, rng: random.Random) -> None:
        """The process died among the steps: what it had not done yet never happens, the rest stays as it was left."""
        done = self.steps[: rng.randint(0, len(self.steps))]
        for file in self.files.values():
            file.current = bytearray(file.durable)
        for step in done:
            step.apply(step.file.current)
        self.steps = done
        self.settle()

    def lose_power(self, rng: random.Random) -> None:
        """Power is gone among the steps: what was not synced is there, torn or absent."""
        self.kill(rng)
        gone = rng.random() < ALL_GONE_SHARE
        for step in self.steps:
            fate = 0.0 if gone else rng.random()
            if fate > 0.6:
                step.apply(step.file.durable)
            elif fate > 0.3 and step.data:
                kept = step.data[: rng.randrange(len(step.data))]
                attrs.evolve(step, data=kept).apply(step.file.durable)
        self.steps = []
        for name in [name for name, file in self.files.items() if not file.named]:
            if gone or rng.random() < 0.5:
                del self.files[name]
        for file in self.files.values():
            file.current = bytearray(file.durable)

    def wipe(self) -> None:
        """The disk is empty."""
        self.files = {}
        self.steps = []
        self.refusing = False
