"""Requests, attempts and connections, independent of any protocol, source of server lists, or file."""
