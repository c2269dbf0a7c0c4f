"""What all tests share: drawn cases are the same in every run, and none fails for the time that it takes."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
