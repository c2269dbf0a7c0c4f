"""The replicated compare-and-swap register: acceptor, proposer, replica sets."""
