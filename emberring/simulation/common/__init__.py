"""What the simulators share: virtual time, owned tasks, scheduled steps and their shrinking."""
