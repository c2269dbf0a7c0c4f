"""The command line's tools: one module a concern, imported only for tools, never by a role."""
