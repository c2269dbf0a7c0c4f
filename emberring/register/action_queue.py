"""The actions that one event gives rise to, in the order in which they are to be executed."""

from __future__ import annotations

from collections.abc import Iterable

from emberring.register.events import Action


class ActionQueue:
    """Collects the actions of the event being handled. All parts of a `RegisterNode` share one queue."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def clear(self) -> None:
        """Drop what was collected: a new event is about to be handled."""
        self._actions = []

    def add(self, action: Action) -> None:
        """Append one action."""
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Append several actions in their order."""
        self._actions += actions

    def collected(self) -> list[Action]:
        """All actions since the last `clear`."""
        return self._actions
