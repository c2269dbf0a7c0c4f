"""The rule LOST for items of open batch jobs when `FinishS` is over, with the excuses that it names."""

from __future__ import annotations

from collections.abc import Sequence

from rig_two.callers import BatchClient
from rig_two.case import Case, NotRunError
from rig_two.model_server import Run

FINISH_S = 10.0  # FinishS
UNTOUCHED_S = 5.0  # for which no server had an unlisted item of the batch job
UNFINISHED_S = 3.0  # for which no item of any batch job was finished
FEW_SHARE = 0.1  # finished items of the last 5 s excuse nothing if they are under this share of all that wait
RUN_S = 0.3  # longest run of an item at the stand-ins, with room to spare
READS = 3


async def items_lost(
    case: Case, jobs: Sequence[BatchClient], others: Sequence[BatchClient], runs: list[Run]
) -> int:
    """Return how many items of these open batch jobs the rule counts as lost; `others` wait and are not judged."""
    record = case.record
    now_s = record.now_s()
    missing = [await _missing(job) for job in jobs]
    waiting = sum(len(items) for items in missing) + sum([len(await _missing(job)) for job in others])
    if _finishing(now_s, runs, waiting):
        record.note("judge: items are still being finished, which excuses the rest")
        return 0
    last_run_s = {run.request_id: run.at_s + RUN_S for run in runs}
    lost = 0
    for job, items in zip(jobs, missing, strict=True):
        touched = any(last_run_s.get(item, 0.0) > now_s - UNTOUCHED_S for item in items)
        never = sum(1 for item in items if item not in last_run_s)
        record.note(
            f"judge: batch job {job.job}: {len(items)} of {len(job.items)} items not listed, {never} never run"
            + (", a server has one of them" if touched else "")
        )
        lost += 0 if touched else len(items)
    return lost


def _finishing(now_s: float, runs: list[Run], waiting: int) -> bool:
    ends_s = [run.at_s + RUN_S for run in runs]
    latest = any(end_s > now_s - UNFINISHED_S for end_s in ends_s)
    recent = sum(1 for end_s in ends_s if end_s > now_s - UNTOUCHED_S)
    return latest and recent >= FEW_SHARE * waiting


async def _missing(job: BatchClient) -> list[str]:
    """Return the ids of the items that are not listed; read again after a failure."""
    for _ in range(READS):
        page = await job.read()
        if page is not None:
            listed = {str(result["Id"]) for result in page["Results"]}
            return [item for item in job.items if item not in listed]
    raise NotRunError("a batch job could not be read")
