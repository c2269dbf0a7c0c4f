"""A simulation of load-balanced services: policies to compare, experiments, and their stored results."""
