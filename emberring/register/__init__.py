"""The replicated compare-and-swap register: Paxos acceptors and proposers, and changes of the replica set."""

from emberring.register.service import RegisterService

__all__ = ["RegisterService"]
