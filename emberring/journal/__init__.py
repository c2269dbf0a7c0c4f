"""Records on disk: a ring of preallocated files with checksums and group commit."""
