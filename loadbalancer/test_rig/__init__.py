"""Test rig: runs many processes of the program on one machine and injects faults."""
