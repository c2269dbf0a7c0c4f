"""Calls of an owner to replicas, while they wait for a reply."""

from __future__ import annotations

from emberring.jobs.messages import ReplicaRequest
from emberring.jobs.owner_actions import OwnerAction, SendToReplica


class ReplicaCalls:
    """Calls in flight of one owner, by ticket. `next_ticket` is the ticket of the next call."""

    def __init__(self) -> None:
        self.next_ticket = 1
        self._in_flight: dict[int, SendToReplica] = {}

    def send(self, actions: list[OwnerAction], target: str, message: ReplicaRequest) -> None:
        """Append the action that sends a request to the replica with the identity `target`."""
        call = SendToReplica(self.next_ticket, target, message)
        self.next_ticket += 1
        self._in_flight[call.ticket] = call
        actions.append(call)

    def complete(self, ticket: int) -> SendToReplica | None:
        """Remove and return the call with this ticket; None if it was abandoned."""
        return self._in_flight.pop(ticket, None)

    def abandon_all(self) -> None:
        """Ignore the replies of all calls in flight."""
        self._in_flight.clear()
