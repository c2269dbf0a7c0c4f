"""Shared by the simulators: virtual time, task owners, scheduled steps and the shrinking of schedules."""
