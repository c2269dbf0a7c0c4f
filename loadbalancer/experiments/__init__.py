"""A model of services that are balanced, policies side by side, and experiments that are kept and compared."""
