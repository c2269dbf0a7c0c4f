"""A model checker of the register: explores every order of events in a small one, with real acceptors and attempts.

There are three replicas, a spare, and two proposers with a few attempts each, which are numbered alternately. The first
proposer also replaces the third replica by the spare. A message may be late or lost; an attempt continues with any
quorum of the promises that it received. A disk may be lost, and a replica may restart from its records. A proposal is
committed once a quorum of its own replica set has accepted it; of any two committed proposals, the value of the later
one must start with the value of the earlier one. States that differ only by the names of the first two replicas are
visited once.

Replies need no events of their own. A rejection is equivalent to no reply, because a proposer may give up at any time.
An acceptance may or may not be known to the proposer, which is covered by the choice of what it knows at its next
attempt.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Iterator

import attrs

from emberring.register.acceptor import Acceptor
from emberring.register.changes import Candidate, ReplicaSetView, next_replica_set
from emberring.register.messages import Accept, Prepare, Promise
from emberring.register.model import Member, Proposal, ProposalNumber, ReplicaSet, State, initial_proposal
from emberring.register.proposer import Phase, ProposalAttempt

FOUNDERS = ("a", "b", "c")
INITIAL = initial_proposal(FOUNDERS)
SPARE = Member("d", "d")
NAMES = ("founder:a", "founder:b", "founder:c", "d")  # identities by index of the acceptors of a model
MIRROR = (1, 0, 2, 3)  # the first two are interchangeable
REPLACED = "c"
REPLICA_COUNT = 3
PROPOSERS = 2

AcceptorNumbers = tuple[int, int]  # counters of the promised and the accepted attempt; -1: none
UNDECIDED = -1


class _States:
    """Assigns numbers to the proposed states, so that a model consists only of numbers."""

    def __init__(self) -> None:
        self._numbers: dict[State, int] = {}
        self._states: list[State] = []

    def number(self, state: State) -> int:
        """Return the number of a state; assigns one if it has none."""
        found = self._numbers.get(state)
        if found is None:
            found = self._numbers[state] = len(self._states)
            self._states.append(state)
        return found

    def __getitem__(self, number: int) -> State:
        return self._states[number]


STATES = _States()


@attrs.frozen
class Bounds:
    """Limits of a search.

    Attributes:
        depth: maximum number of consecutive events.
        states: approximate maximum number of visited states.
        attempts: attempts of each of the two proposers.
        losses: maximum number of disk losses.
        restarts: maximum number of replica restarts.
    """

    depth: int = 30
    states: int = 5_000_000
    attempts: tuple[int, int] = (3, 2)
    losses: int = 1
    restarts: int = 1


@attrs.frozen(cache_hash=True)
class Attempt:
    """A started attempt.

    Attributes:
        known: the counter of the proposal that its proposer knew.
        promises: for each promise, the index of the acceptor and the counter of the proposal that it had accepted.
        state: the number of the proposed state; `UNDECIDED` before the attempt has decided.
    """

    known: int
    promises: tuple[tuple[int, int], ...] = ()
    state: int = UNDECIDED

    @property
    def proposed(self) -> State | None:
        """The state that it proposes; None before it has decided."""
        return None if self.state == UNDECIDED else STATES[self.state]


@attrs.frozen(cache_hash=True)
class Model:
    """One state of the model.

    Attributes:
        acceptors: by index; None if the disk is lost.
        attempts: the started attempts, by counter.
        committed: counters of the committed proposals.
        known: for each proposer, the counter of the newest proposal that it knows to be committed.
        losses: disks lost so far.
        restarts: replicas restarted so far.
    """

    acceptors: tuple[AcceptorNumbers | None, ...]
    attempts: tuple[tuple[int, Attempt], ...] = ()
    committed: tuple[int, ...] = (0,)
    known: tuple[int, ...] = (0,) * PROPOSERS
    losses: int = 0
    restarts: int = 0

    def attempt(self, counter: int) -> Attempt | None:
        """Return the attempt with this counter, if it was started."""
        return next((found for number, found in self.attempts if number == counter), None)

    def proposal(self, counter: int) -> Proposal:
        """Return the proposal with this counter; raises `LookupError` if there is none."""
        if counter == 0:
            return INITIAL
        attempt = self.attempt(counter)
        if attempt is None or attempt.proposed is None:
            raise LookupError(f"attempt {counter} has no proposal")
        return Proposal(_proposal_number(counter), attempt.proposed)

    def mirrored(self) -> Model:
        """Return this state with the first two replicas swapped.

        Names in proposed replica sets stay, because they are the same for both.
        """
        attempts = tuple((number, _mirrored(found)) for number, found in self.attempts)
        acceptors = tuple(self.acceptors[MIRROR[slot]] for slot in range(len(NAMES)))
        return Model(acceptors, attempts, self.committed, self.known, self.losses, self.restarts)


@functools.lru_cache(maxsize=200_000)
def _mirrored(attempt: Attempt) -> Attempt:
    promises = tuple(sorted((MIRROR[slot], accepted_before) for slot, accepted_before in attempt.promises))
    return Attempt(attempt.known, promises, attempt.state)


@attrs.frozen
class SearchResult:
    """The result of a search. The names of the fields are keys of `emberring check model --json`.

    Attributes:
        states: number of visited states.
        depth: number of consecutive events.
        whole: whether all reachable states were visited.
        wrong: the violation; empty if there was none.
        way: the events that led to the violation.
    """

    states: int
    depth: int
    whole: bool
    wrong: str = ""
    way: tuple[str, ...] = ()


@functools.lru_cache
def _proposal_number(counter: int) -> ProposalNumber:
    return ProposalNumber(counter, f"p{(counter - 1) % PROPOSERS}") if counter else INITIAL.number


def _proposer(counter: int) -> int:
    return (counter - 1) % PROPOSERS


def _acceptor(model: Model, slot: int) -> Acceptor:
    """Return the real acceptor at this index; raises `LookupError` if its disk is lost."""
    numbers = model.acceptors[slot]
    if numbers is None:
        raise LookupError(f"the disk of {NAMES[slot]} is lost")
    promised, accepted = numbers
    acceptor = Acceptor(NAMES[slot], None if accepted < 0 else model.proposal(accepted))
    acceptor.promised = None if promised < 0 else _proposal_number(promised)
    return acceptor


def _numbers_of(acceptor: Acceptor) -> AcceptorNumbers:
    promised, accepted = acceptor.promised, acceptor.accepted_number
    return (-1 if promised is None else promised.counter, -1 if accepted is None else accepted.counter)


def _with_acceptor(model: Model, slot: int, numbers: AcceptorNumbers | None) -> Model:
    acceptors = (*model.acceptors[:slot], numbers, *model.acceptors[slot + 1 :])
    return Model(acceptors, model.attempts, model.committed, model.known, model.losses, model.restarts)


def _with_attempt(model: Model, counter: int, attempt: Attempt) -> Model:
    rest = [item for item in model.attempts if item[0] != counter]
    attempts = tuple(sorted([*rest, (counter, attempt)], key=lambda item: item[0]))
    return Model(model.acceptors, attempts, model.committed, model.known, model.losses, model.restarts)


class _Decide:
    """Computes the state that an attempt proposes from the proposal that it found.

    It appends the counter of the attempt to the value. The first proposer also performs the next step of the
    reconfiguration, under the same conditions as `ProposalLoop`.
    """

    def __init__(self, counter: int) -> None:
        self._counter = counter

    def __call__(self, found: Proposal, committed: bool) -> State:
        """Return the state to propose."""
        replicas = found.state.replicas
        if _proposer(self._counter) == 0 and (committed or not replicas.joining):
            replicas = _reconfiguration_step(replicas) or replicas
        return State(replicas, (found.state.payload or b"") + b"%d " % self._counter)


def _reconfiguration_step(replicas: ReplicaSet) -> ReplicaSet | None:
    dead = frozenset(member.identity for member in replicas.members if member.address == REPLACED)
    view = ReplicaSetView({}, dead, {}, frozenset(), {}, {}, (Candidate(SPARE),))
    return next_replica_set(replicas, view, REPLICA_COUNT)


# Events.


def _begin_events(model: Model, bounds: Bounds) -> Iterator[tuple[str, Model]]:
    for proposer in range(PROPOSERS):
        begun = sum(_proposer(counter) == proposer for counter, _ in model.attempts)
        if begun >= bounds.attempts[proposer]:
            continue
        counter = 1 + proposer + PROPOSERS * begun
        for known in {model.known[proposer], max(model.committed)}:
            other = _with_attempt(model, counter, Attempt(known))
            known_now = tuple(known if at == proposer else found for at, found in enumerate(model.known))
            yield f"attempt {counter} starts, knowing {known}", attrs.evolve(other, known=known_now)


def _promise_events(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        if attempt.state != UNDECIDED or not _is_newest(model, counter):
            continue
        for slot, numbers in enumerate(model.acceptors):
            if numbers is None or any(at == slot for at, _ in attempt.promises):
                continue
            acceptor = _acceptor(model, slot)
            verdict = acceptor.prepare(Prepare(NAMES[slot], _proposal_number(counter)))
            if not isinstance(verdict.reply, Promise):
                continue
            accepted_before = -1 if verdict.reply.accepted is None else verdict.reply.accepted.counter
            promised = Attempt(attempt.known, tuple(sorted((*attempt.promises, (slot, accepted_before)))))
            other = _with_attempt(_with_acceptor(model, slot, _numbers_of(acceptor)), counter, promised)
            yield f"{NAMES[slot]} promises attempt {counter}", other


def _is_newest(model: Model, counter: int) -> bool:
    """Return whether its proposer has started no later attempt."""
    return not any(
        number > counter and _proposer(number) == _proposer(counter) for number, _ in model.attempts
    )


def _decide_events(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        if attempt.state != UNDECIDED or not _is_newest(model, counter):
            continue
        for size in range(1, len(attempt.promises) + 1):
            for promises in itertools.combinations(attempt.promises, size):
                proposed = _proposed(model, counter, attempt, promises)
                if proposed is not None:
                    names = ", ".join(NAMES[slot] for slot, _ in promises)
                    other = _with_attempt(
                        model, counter, attrs.evolve(attempt, state=STATES.number(proposed))
                    )
                    yield f"attempt {counter} decides on the promises of {names}", other


def _proposed(
    model: Model, counter: int, attempt: Attempt, promises: tuple[tuple[int, int], ...]
) -> State | None:
    """Return the state that the real attempt proposes on receipt of the last of these promises, or None."""
    known = model.proposal(attempt.known)
    attempt_run = ProposalAttempt(_proposal_number(counter), known, _Decide(counter))
    attempt_run.start(known.state.replicas.all_members)
    for number, (slot, accepted_before) in enumerate(promises, 1):
        accepted = None if accepted_before < 0 else model.proposal(accepted_before)
        state = None if accepted is None else accepted.state
        reply = Promise(
            NAMES[slot], _proposal_number(counter), None if accepted is None else accepted.number, state
        )
        attempt_run.on_reply(Member(NAMES[slot], NAMES[slot]), reply)
        if attempt_run.phase is not Phase.PREPARING:
            return attempt_run.proposed if number == len(promises) else None
    return None


def _accept_events(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        proposed = attempt.proposed
        if proposed is None:
            continue
        for member in proposed.replicas.all_members:
            slot = NAMES.index(member.identity)
            numbers = model.acceptors[slot]
            if numbers is None or numbers[1] >= counter:
                continue
            acceptor = _acceptor(model, slot)
            acceptor.accept(Accept(NAMES[slot], _proposal_number(counter), proposed))
            if _numbers_of(acceptor) != numbers:
                other = _with_committed(_with_acceptor(model, slot, _numbers_of(acceptor)))
                yield f"{NAMES[slot]} accepts attempt {counter}", other


def _with_committed(model: Model) -> Model:
    """Return the model with the proposals marked as committed that a quorum of their own set has accepted."""
    committed = set(model.committed)
    for counter, attempt in model.attempts:
        proposed = attempt.proposed
        if proposed is None or counter in committed:
            continue
        accepted_by = frozenset(
            name
            for name, numbers in zip(NAMES, model.acceptors, strict=True)
            if numbers and numbers[1] == counter
        )
        if proposed.replicas.has_quorum(accepted_by):
            committed.add(counter)
    return attrs.evolve(model, committed=tuple(sorted(committed)))


def _faults(model: Model, bounds: Bounds, keeps_identity: bool) -> Iterator[tuple[str, Model]]:
    for slot, numbers in enumerate(model.acceptors):
        if numbers is None:
            continue
        if model.losses < bounds.losses:
            empty = (-1, -1) if keeps_identity else None
            other = _with_acceptor(model, slot, empty)
            yield f"{NAMES[slot]} loses its disk", attrs.evolve(other, losses=model.losses + 1)
        if model.restarts < bounds.restarts:
            other = _with_acceptor(model, slot, _restarted(_acceptor(model, slot)))
            yield f"{NAMES[slot]} starts again", attrs.evolve(other, restarts=model.restarts + 1)


def _restarted(acceptor: Acceptor) -> AcceptorNumbers:
    """Return the promised and accepted numbers of a replica after it has restored its records."""
    fresh = Acceptor("")
    fresh.restore(acceptor.snapshot())
    return _numbers_of(fresh)


def _violation(model: Model) -> str:
    """Return the violation in this state; empty if there is none."""
    for earlier, later in itertools.pairwise(model.committed):
        before = model.proposal(earlier).state.payload or b""
        after = model.proposal(later).state.payload or b""
        if not after.startswith(before):
            return f"attempt {later} committed {after!r} after attempt {earlier} committed {before!r}"
    return ""


def _key(model: Model) -> int:
    """Return a key that is equal for states that differ only by the names of the mirrored replicas."""
    return max(hash(model), hash(model.mirrored()))


def search(bounds: Bounds, keeps_identity: bool = False) -> SearchResult:
    """Visit every state within the bounds in breadth-first order.

    `keeps_identity` seeds a mutation: a replica that lost its disk keeps its identity.
    """
    level: list[tuple[Model, tuple[str, ...]]] = [(Model(((0, 0), (0, 0), (0, 0), (-1, -1))), ())]
    seen = {_key(level[0][0])}
    for depth in range(1, bounds.depth + 1):
        following: list[tuple[Model, tuple[str, ...]]] = []
        for model, trace in level:
            for event, other in _events(model, bounds, keeps_identity):
                key = _key(other)
                if key in seen:
                    continue
                seen.add(key)
                if wrong := _violation(other):
                    return SearchResult(len(seen), depth, False, wrong, (*trace, event))
                following.append((other, (*trace, event)))
            if len(seen) > bounds.states:
                return SearchResult(len(seen), depth - 1, False)
        level = following
        if not level:
            return SearchResult(len(seen), depth, True)
    return SearchResult(len(seen), bounds.depth, False)


def _events(model: Model, bounds: Bounds, keeps_identity: bool) -> Iterator[tuple[str, Model]]:
    yield from _begin_events(model, bounds)
    yield from _promise_events(model)
    yield from _decide_events(model)
    yield from _accept_events(model)
    yield from _faults(model, bounds, keeps_identity)
