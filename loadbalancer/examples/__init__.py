"""Files that the command line ships: a catalogue and descriptions of a ledger division."""
