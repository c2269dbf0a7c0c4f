"""The load report of an emulated model server: the load of its engine, cached for a short time."""

from __future__ import annotations

import orjson

from emberring.emulator.engine import Engine

REFRESH_INTERVAL_S = 0.2


class LoadReportPage:
    """The JSON of the load report; it may be up to `REFRESH_INTERVAL_S` old."""

    def __init__(self) -> None:
        self._made_s = -REFRESH_INTERVAL_S
        self._body = b""

    def body(self, engine: Engine, now_s: float) -> bytes:
        """Return the report at this time (seconds)."""
        if now_s - self._made_s >= REFRESH_INTERVAL_S:
            figures = engine.report()
            document = {
                "Phase": "both",
                "Models": [{"Name": "m", "Version": 1, "LoraAdapters": []}],
                "Utilization": False,
                "Sequence": 1,
                "Queued": figures.queued,
                "Active": figures.active,
                "KvUsed": figures.kv_used,
                "KvCapacity": figures.kv_capacity,
                "Sessions": 0,
            }
            self._made_s, self._body = now_s, orjson.dumps(document)
        return self._body
