"""The sidecar's files: catalogue, application description, configuration; their models, writing and checking.

No sockets here, and nothing that the platform's node imports.
"""
