"""The replicated compare-and-swap register: acceptor, proposer, replica sets."""

from emberring.register.service import RegisterService

__all__ = ["RegisterService"]
