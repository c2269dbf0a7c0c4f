"""The service that a request gets by the traffic split of its route."""

from __future__ import annotations

import bisect
import itertools
import zlib
from collections.abc import Callable, Iterator, Sequence
from functools import lru_cache

import attrs

from emberring.configuration.model import Route, Share

HASH_RANGE = 2**32
# Of a split with more shares only the complete set and the sets that lack one service are divided exactly, since the
# number of sets doubles with each share.
MAX_EXACT_SHARES = 6
CACHED_SPLITS = 256

HasServers = Callable[[str], bool]


def choose_service(route: Route, key: bytes, has_servers: HasServers) -> str | None:
    """Return the service of a request by the route's weights and a hash of `key`; the same key gives the same service.

    A service without servers is chosen only if no service has servers. Returns None if no weight is above 0.
    """
    return _service_at(_weighted_shares(route), _position(key), has_servers)


@attrs.frozen(cache_hash=True)
class SplitSegment:
    """The requests of a traffic split that get the same service, whichever of its services have servers.

    `position` is the position of one of them in the split, from 0 to 1. Routes with the same split have the same
    segments.
    """

    split: tuple[Share, ...]
    position: float

    def service(self, has_servers: HasServers) -> str | None:
        """Return the service that `choose_service` chooses for these requests; None if the split is not known."""
        return _service_at(self.split, self.position, has_servers)


# Of requests whose route is not known yet: any service may be theirs.
UNKNOWN_SEGMENT = SplitSegment((), 0.0)


def split_segment(route: Route, key: bytes) -> SplitSegment | None:
    """Return the segment of the route's split that a request with this key belongs to; None if no weight is above 0."""
    split = _weighted_shares(route)
    if not split:
        return None
    boundaries, segments = _segments(split)
    return segments[bisect.bisect_right(boundaries, _position(key))] if boundaries else segments[0]


def _position(key: bytes) -> float:
    return zlib.crc32(key) / HASH_RANGE


def _weighted_shares(route: Route) -> tuple[Share, ...]:
    split = tuple(share for share in route.split if share.weight > 0)
    return (Share(split[0].service, 1.0),) if len(split) == 1 else split


def _service_at(split: Sequence[Share], position: float, has_servers: HasServers) -> str | None:
    if not split:
        return None
    shares = [share for share in split if has_servers(share.service)] or split
    rest = position * sum(share.weight for share in shares)
    for share in shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return shares[-1].service


@lru_cache(CACHED_SPLITS)
def _segments(split: tuple[Share, ...]) -> tuple[list[float], list[SplitSegment]]:
    """Return the positions at which segments begin, without the first one at 0, and all segments."""
    boundaries = sorted({position for shares in _subsets(split) for position in _boundaries(shares)})
    edges = [0.0, *boundaries, 1.0]
    segments = [SplitSegment(split, (start + end) / 2) for start, end in itertools.pairwise(edges)]
    return boundaries, segments


def _subsets(split: tuple[Share, ...]) -> Iterator[tuple[Share, ...]]:
    """Yield the sets of services that may have servers."""
    smallest = 1 if len(split) <= MAX_EXACT_SHARES else len(split) - 1
    for size in range(smallest, len(split) + 1):
        yield from itertools.combinations(split, size)


def _boundaries(shares: tuple[Share, ...]) -> Iterator[float]:
    """Yield the positions, between 0 and 1, at which the service changes."""
    total = sum(share.weight for share in shares)
    for weight in itertools.accumulate(share.weight for share in shares[:-1]):
        if 0.0 < weight / total < 1.0:
            yield weight / total
