"""The sidecar's files (catalogue, application description, configuration): their models, derivation and checks.

This package opens no sockets, and the platform's node does not import it.
"""
