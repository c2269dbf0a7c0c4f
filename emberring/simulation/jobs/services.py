"""The two services of the simulated tier: one that always has servers, and one that has none in some schedules.

The second service has batch jobs only where it has no servers. They are due before those of the first one, so that an
owner that leased items by their due times alone would lease theirs first.
"""

from __future__ import annotations

import random

from emberring.configuration.model import Configuration, Route, RouteType, Service, Share
from emberring.jobs.calls import JobTerms

HOST = "lots.example"
MAX_TOKENS = 400
MAX_ATTEMPTS = 2
RETENTION_S = 60.0
SOUND, LOST = "sound", "lost"
LOST_SERVICE_SHARE = 0.25  # of the schedules
LOST_JOB_INTERVAL_S = 0.3
_UNLIMITED_TOKENS = 1_000_000


def _route(service: str, completion_ms: float, max_queued_tokens: int) -> Route:
    return Route(
        name=f"r-{service}",
        host=HOST,
        path_prefix=f"/{service}/",
        type=RouteType.BATCH,
        timeout_ms=4000.0,
        split=(Share(service, 1.0),),
        max_attempts=MAX_ATTEMPTS,
        completion_target_ms=completion_ms,
        retention_s=RETENTION_S,
        max_queued_tokens=max_queued_tokens,
    )


ROUTES = {SOUND: _route(SOUND, 4000.0, MAX_TOKENS), LOST: _route(LOST, 2000.0, _UNLIMITED_TOKENS)}
CONFIGURATION = Configuration(1, tuple(ROUTES.values()), (Service(SOUND), Service(LOST)))


def terms_of(service: str) -> JobTerms:
    """Return the terms of a batch job that was submitted on the route to this service."""
    route = ROUTES[service]
    return JobTerms(
        route.name,
        route.path_prefix,
        CONFIGURATION.version,
        route.completion_target_ms,
        route.retention_s,
        route.max_attempts,
        route.max_queued_tokens,
    )


def has_lost_service(seed: int) -> bool:
    """Return whether the schedule of this seed has batch jobs of a service without servers."""
    return random.Random(f"services {seed}").random() < LOST_SERVICE_SHARE
