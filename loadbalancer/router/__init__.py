"""Routing: finds the class and the pool of a request. No I/O."""
