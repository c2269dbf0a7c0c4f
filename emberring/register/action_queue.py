"""The actions that result from one event, in the order of execution."""

from __future__ import annotations

from collections.abc import Iterable

from emberring.register.events import Action


class ActionQueue:
    """Collects the actions that result from the current event. All components of a `RegisterNode` share one queue."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def clear(self) -> None:
        """Discard the collected actions before the next event is handled."""
        self._actions = []

    def add(self, action: Action) -> None:
        """Append one action."""
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Append several actions in their order."""
        self._actions += actions

    def collected(self) -> list[Action]:
        """Return all actions since the last `clear`."""
        return self._actions
