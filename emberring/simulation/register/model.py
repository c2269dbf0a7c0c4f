"""Every order of events in a small register: the real acceptors, ballots and steps of a change of the set, no chance.

Three replicas and a spare; two proposers with a few ballots each, numbered in turn, of which the first also replaces
the third replica by the spare. A call is carried out late, or never; a ballot goes on with any quorum of the promises
that were given to it. A disk may be lost, and a replica may start again from its records. What a quorum of its own
replica set has accepted is chosen; of any two chosen proposals the later one's value must begin with the earlier one's.
States that differ by the names of the first two replicas alone are looked at once.

Replies need no events of their own: a refusal says no more than silence, as a proposer may give up at any time, and an
acceptance is known to the proposer or not, which the choice of what it knows at its next ballot covers.
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
NAMES = ("founder:a", "founder:b", "founder:c", "d")  # the places of a state's acceptors
MIRROR = (1, 0, 2, 3)  # the first two play the same part
REPLACED = "c"
WANTED = 3
PROPOSERS = 2

AcceptorNumbers = tuple[int, int]  # the counters of the ballots promised and accepted; -1: none
UNDECIDED = -1


class _States:
    """The states proposed so far, each by a number, so that a model holds numbers alone."""

    def __init__(self) -> None:
        self._numbers: dict[State, int] = {}
        self._states: list[State] = []

    def number(self, state: State) -> int:
        """The number of a state."""
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
    """How far to look: events in a row, states in all, ballots of each proposer, disks lost, replicas started again."""

    depth: int = 30
    states: int = 5_000_000
    attempts: tuple[int, int] = (3, 2)
    losses: int = 1
    restarts: int = 1


@attrs.frozen(cache_hash=True)
class Attempt:
    """A ballot that was begun: the counter of what its proposer knew, who promised (place, counter of what it had
    accepted then), and the number of the state that it proposes once it has decided."""

    known: int
    promises: tuple[tuple[int, int], ...] = ()
    state: int = UNDECIDED

    @property
    def proposed(self) -> State | None:
        """What it proposes."""
        return None if self.state == UNDECIDED else STATES[self.state]


@attrs.frozen(cache_hash=True)
class Model:
    """A state. `acceptors` by place (None: its disk is lost); `attempts` by counter; `committed` has counters;
    `known` is what each proposer knows to be chosen."""

    acceptors: tuple[AcceptorNumbers | None, ...]
    attempts: tuple[tuple[int, Attempt], ...] = ()
    committed: tuple[int, ...] = (0,)
    known: tuple[int, ...] = (0,) * PROPOSERS
    losses: int = 0
    restarts: int = 0

    def attempt(self, counter: int) -> Attempt | None:
        """The ballot with this counter, if it was begun."""
        return next((found for number, found in self.attempts if number == counter), None)

    def proposal(self, counter: int) -> Proposal:
        """What was proposed under this counter."""
        if counter == 0:
            return INITIAL
        attempt = self.attempt(counter)
        assert attempt is not None
        assert attempt.proposed is not None
        return Proposal(_ballot(counter), attempt.proposed)

    def mirrored(self) -> Model:
        """The same with the first two replicas' names swapped, but for the names in proposed sets, which are the same
        for both."""
        attempts = tuple((number, _mirrored(found)) for number, found in self.attempts)
        acceptors = tuple(self.acceptors[MIRROR[place]] for place in range(len(NAMES)))
        return Model(acceptors, attempts, self.committed, self.known, self.losses, self.restarts)


@functools.lru_cache(maxsize=200_000)
def _mirrored(attempt: Attempt) -> Attempt:
    promises = tuple(sorted((MIRROR[place], had) for place, had in attempt.promises))
    return Attempt(attempt.known, promises, attempt.state)


@attrs.frozen
class Found:
    """What a search found: how many states, how deep, whether there were no more, and a way to a wrong one."""

    states: int
    depth: int
    whole: bool
    wrong: str = ""
    way: tuple[str, ...] = ()


@functools.lru_cache
def _ballot(counter: int) -> ProposalNumber:
    return ProposalNumber(counter, f"p{(counter - 1) % PROPOSERS}") if counter else INITIAL.number


def _proposer(counter: int) -> int:
    return (counter - 1) % PROPOSERS


def _acceptor(model: Model, place: int) -> Acceptor:
    """The real acceptor of a place, with what it holds."""
    held = model.acceptors[place]
    assert held is not None
    promised, accepted = held
    acceptor = Acceptor(NAMES[place], None if accepted < 0 else model.proposal(accepted))
    acceptor.promised = None if promised < 0 else _ballot(promised)
    return acceptor


def _numbers_of(acceptor: Acceptor) -> AcceptorNumbers:
    promised, accepted = acceptor.promised, acceptor.accepted_number
    return (-1 if promised is None else promised.counter, -1 if accepted is None else accepted.counter)


def _with_acceptor(model: Model, place: int, held: AcceptorNumbers | None) -> Model:
    acceptors = (*model.acceptors[:place], held, *model.acceptors[place + 1 :])
    return Model(acceptors, model.attempts, model.committed, model.known, model.losses, model.restarts)


def _with_attempt(model: Model, counter: int, attempt: Attempt) -> Model:
    rest = [item for item in model.attempts if item[0] != counter]
    attempts = tuple(sorted([*rest, (counter, attempt)], key=lambda item: item[0]))
    return Model(model.acceptors, attempts, model.committed, model.known, model.losses, model.restarts)


class _Decide:
    """What a ballot makes of what it found: its mark at the end, and for the first proposer a step of the set's change,
    under the conditions of `RegisterNode`."""

    def __init__(self, counter: int) -> None:
        self._counter = counter

    def __call__(self, found: Proposal, committed: bool) -> State:
        replicas = found.state.replicas
        if _proposer(self._counter) == 0 and (committed or not replicas.joining):
            replicas = _step(replicas) or replicas
        return State(replicas, (found.state.payload or b"") + b"%d " % self._counter)


def _step(replicas: ReplicaSet) -> ReplicaSet | None:
    dead = frozenset(member.identity for member in replicas.members if member.address == REPLACED)
    view = ReplicaSetView({}, dead, {}, frozenset(), {}, {}, (Candidate(SPARE),))
    return next_replica_set(replicas, view, WANTED)


# Events.


def _beginnings(model: Model, bounds: Bounds) -> Iterator[tuple[str, Model]]:
    for proposer in range(PROPOSERS):
        begun = sum(_proposer(counter) == proposer for counter, _ in model.attempts)
        if begun >= bounds.attempts[proposer]:
            continue
        counter = 1 + proposer + PROPOSERS * begun
        for known in {model.known[proposer], max(model.committed)}:
            other = _with_attempt(model, counter, Attempt(known))
            told = tuple(known if at == proposer else found for at, found in enumerate(model.known))
            yield f"ballot {counter} begins, knowing {known}", attrs.evolve(other, known=told)


def _promises(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        if attempt.state != UNDECIDED or not _is_newest(model, counter):
            continue
        for place, held in enumerate(model.acceptors):
            if held is None or any(at == place for at, _ in attempt.promises):
                continue
            acceptor = _acceptor(model, place)
            verdict = acceptor.prepare(Prepare(NAMES[place], _ballot(counter)))
            if not isinstance(verdict.reply, Promise):
                continue
            had = -1 if verdict.reply.accepted is None else verdict.reply.accepted.counter
            promised = Attempt(attempt.known, tuple(sorted((*attempt.promises, (place, had)))))
            other = _with_attempt(_with_acceptor(model, place, _numbers_of(acceptor)), counter, promised)
            yield f"{NAMES[place]} promises ballot {counter}", other


def _is_newest(model: Model, counter: int) -> bool:
    """Whether its proposer has begun none after it."""
    return not any(
        number > counter and _proposer(number) == _proposer(counter) for number, _ in model.attempts
    )


def _decisions(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        if attempt.state != UNDECIDED or not _is_newest(model, counter):
            continue
        for size in range(1, len(attempt.promises) + 1):
            for promises in itertools.combinations(attempt.promises, size):
                proposed = _proposed(model, counter, attempt, promises)
                if proposed is not None:
                    names = ", ".join(NAMES[place] for place, _ in promises)
                    other = _with_attempt(
                        model, counter, attrs.evolve(attempt, state=STATES.number(proposed))
                    )
                    yield f"ballot {counter} decides on the promises of {names}", other


def _proposed(
    model: Model, counter: int, attempt: Attempt, promises: tuple[tuple[int, int], ...]
) -> State | None:
    """What the real ballot proposes once the last of these promises has come; None where it does not."""
    known = model.proposal(attempt.known)
    ballot = ProposalAttempt(_ballot(counter), known, _Decide(counter))
    ballot.start(known.state.replicas.all_members)
    for number, (place, had) in enumerate(promises, 1):
        accepted = None if had < 0 else model.proposal(had)
        state = None if accepted is None else accepted.state
        reply = Promise(NAMES[place], _ballot(counter), None if accepted is None else accepted.number, state)
        ballot.on_reply(Member(NAMES[place], NAMES[place]), reply)
        if ballot.phase is not Phase.PREPARING:
            return ballot.proposed if number == len(promises) else None
    return None


def _acceptances(model: Model) -> Iterator[tuple[str, Model]]:
    for counter, attempt in model.attempts:
        proposed = attempt.proposed
        if proposed is None:
            continue
        for member in proposed.replicas.all_members:
            place = NAMES.index(member.identity)
            held = model.acceptors[place]
            if held is None or held[1] >= counter:
                continue
            acceptor = _acceptor(model, place)
            acceptor.accept(Accept(NAMES[place], _ballot(counter), proposed))
            if _numbers_of(acceptor) != held:
                other = _with_committed(_with_acceptor(model, place, _numbers_of(acceptor)))
                yield f"{NAMES[place]} accepts ballot {counter}", other


def _with_committed(model: Model) -> Model:
    """With what a quorum of its own set holds at this moment among the chosen."""
    committed = set(model.committed)
    for counter, attempt in model.attempts:
        proposed = attempt.proposed
        if proposed is None or counter in committed:
            continue
        holders = frozenset(
            name for name, held in zip(NAMES, model.acceptors, strict=True) if held and held[1] == counter
        )
        if proposed.replicas.has_quorum(holders):
            committed.add(counter)
    return attrs.evolve(model, committed=tuple(sorted(committed)))


def _troubles(model: Model, bounds: Bounds, keeps_identity: bool) -> Iterator[tuple[str, Model]]:
    for place, held in enumerate(model.acceptors):
        if held is None:
            continue
        if model.losses < bounds.losses:
            empty = (-1, -1) if keeps_identity else None
            other = _with_acceptor(model, place, empty)
            yield f"{NAMES[place]} loses its disk", attrs.evolve(other, losses=model.losses + 1)
        if model.restarts < bounds.restarts:
            other = _with_acceptor(model, place, _restarted(_acceptor(model, place)))
            yield f"{NAMES[place]} starts again", attrs.evolve(other, restarts=model.restarts + 1)


def _restarted(acceptor: Acceptor) -> AcceptorNumbers:
    """What a replica holds once it has read its records."""
    fresh = Acceptor("")
    fresh.restore(acceptor.snapshot())
    return _numbers_of(fresh)


def _wrong(model: Model) -> str:
    """Why no register could have come here; empty where one could."""
    for earlier, later in itertools.pairwise(model.committed):
        before = model.proposal(earlier).state.payload or b""
        after = model.proposal(later).state.payload or b""
        if not after.startswith(before):
            return f"ballot {later} was chosen with {after!r} after ballot {earlier} with {before!r}"
    return ""


def _key(model: Model) -> int:
    """The same for states that differ by the names of the mirrored replicas alone."""
    return max(hash(model), hash(model.mirrored()))


def search(bounds: Bounds, keeps_identity: bool = False) -> Found:
    """Look at every state within the bounds, the nearest first. `keeps_identity` seeds a mistake: an empty disk goes on
    under the old name."""
    level: list[tuple[Model, tuple[str, ...]]] = [(Model(((0, 0), (0, 0), (0, 0), (-1, -1))), ())]
    seen = {_key(level[0][0])}
    for depth in range(1, bounds.depth + 1):
        following: list[tuple[Model, tuple[str, ...]]] = []
        for model, way in level:
            for event, other in _events(model, bounds, keeps_identity):
                key = _key(other)
                if key in seen:
                    continue
                seen.add(key)
                if wrong := _wrong(other):
                    return Found(len(seen), depth, False, wrong, (*way, event))
                following.append((other, (*way, event)))
            if len(seen) > bounds.states:
                return Found(len(seen), depth - 1, False)
        level = following
        if not level:
            return Found(len(seen), depth, True)
    return Found(len(seen), bounds.depth, False)


def _events(model: Model, bounds: Bounds, keeps_identity: bool) -> Iterator[tuple[str, Model]]:
    yield from _beginnings(model, bounds)
    yield from _promises(model)
    yield from _decisions(model)
    yield from _acceptances(model)
    yield from _troubles(model, bounds, keeps_identity)
