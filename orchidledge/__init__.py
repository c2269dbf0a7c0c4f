"""Alias of the package `loadbalancer`, kept for deployments that use its former name."""
