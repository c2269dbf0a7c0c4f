"""Journal of records on disk: a ring of preallocated files with checksums and group commit."""

from emberring.journal.journal import Journal, Rewriter
from emberring.journal.layout import Position, Record

__all__ = ["Journal", "Position", "Record", "Rewriter"]
