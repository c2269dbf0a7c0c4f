"""Alias of the package `loadbalancer`, whose name this was before landing 13."""
