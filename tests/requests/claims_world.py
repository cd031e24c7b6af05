"""A log that loses answers, and holders that claim on it, without threads."""

from __future__ import annotations

import dataclasses

from clementinepass import errors
from clementinepass.platform import protocols
from clementinepass.requests import claim_records, claims

#: Seconds for which the log keeps a record.
RETENTION = 600.0


@dataclasses.dataclass(slots=True)
class Run:
    """One run at the endpoint."""

    key: str
    claim_id: str
    fingerprint: str
    at: float


class Log:
    """One stream; records expire by age."""

    def __init__(self) -> None:
        self.records: list[protocols.Record] = []
        self.born: list[float] = []

    def append(self, payloads: tuple[bytes, ...], now: float) -> None:
        """Take records."""
        for payload in payloads:
            self.records.append(
                protocols.Record(len(self.records), payload),
            )
            self.born.append(now)

    def oldest(self, now: float) -> int:
        """Return the oldest offset still kept."""
        return sum(1 for born in self.born if born < now - RETENTION)

    def read(self, offset: int, now: float, limit: int) -> protocols.RecordPage:
        """Return what is kept from an offset on."""
        oldest = self.oldest(now)
        if offset < oldest:
            raise errors.RecordsExpiredError(
                step='read',
                peer='log',
                oldest=oldest,
            )
        records = tuple(self.records[offset : offset + limit])
        return protocols.RecordPage(
            oldest,
            offset + len(records),
            len(self.records),
            records,
        )


class Holder:
    """One process that claims, and dies with all that it knew."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self.partition = claims.ClaimPartition(name)
        self.tickets: list[claims.Ticket] = []
        #: A page that was read and not folded yet: the process is paused.
        self.page: protocols.RecordPage | None = None

    def open(self, key: str, fingerprint: str) -> claims.Ticket:
        """A caller's request arrives."""
        ticket = self.partition.open(key, fingerprint, self.world.now)
        self.tickets.append(ticket)
        return ticket

    def append(self, fate: str) -> None:
        """Append what waits; the fate is that of the call."""
        batch = self.partition.batch()
        if fate in {'taken', 'answer lost', 'doubled'}:
            self.world.log.append(batch.payloads, self.world.now)
        if fate in {'late', 'doubled'}:
            self.world.late.append(batch.payloads)
        if fate not in {'taken', 'doubled'}:
            self.partition.batch_failed(batch, sent=fate != 'refused')

    def read(self, limit: int = 1000) -> None:
        """Read a page, to be folded later."""
        position = self.partition.position
        try:
            self.page = self.world.log.read(position, self.world.now, limit)
        except errors.RecordsExpiredError as expired:
            self.partition.records_expired(expired.oldest)

    def fold(self) -> None:
        """Fold the page that was read."""
        if self.page is not None:
            self.partition.fold(self.page, self.world.now)
            self.page = None

    def sync(self) -> None:
        """Read and fold all that there is."""
        self.fold()
        self.read()
        self.fold()

    def dispatch(self, ticket: claims.Ticket) -> None:
        """Send to the gate, if the claim allows it."""
        now = self.world.now
        if self.partition.may_dispatch(ticket, now):
            run_before = now + self.partition.remaining(ticket, now)
            self.world.sent.append(Sent(self, ticket, run_before))


@dataclasses.dataclass(slots=True, eq=False)
class Sent:
    """A dispatch on its way to the gate."""

    holder: Holder
    ticket: claims.Ticket
    run_before: float


class World:
    """The log, the gate and the time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.log = Log()
        #: Appends that the log will take later.
        self.late: list[tuple[bytes, ...]] = []
        self.sent: list[Sent] = []
        self.runs: list[Run] = []

    def deliver(self, sent: Sent, told: str) -> None:
        """Let a dispatch reach the gate; ``told`` is what its holder sees.

        The gate refuses one that is too late; every other runs.
        """
        self.sent.remove(sent)
        ticket = sent.ticket
        settle = sent.holder.partition.settle
        if self.now > sent.run_before or told == 'refused':
            settle(ticket, errors.Execution.NOT_RUN)
            return
        self.runs.append(
            Run(ticket.key, ticket.claim_id, ticket.fingerprint, self.now),
        )
        if told == 'answer':
            answer = claim_records.kept(200, '', ticket.claim_id.encode())
            settle(ticket, errors.Execution.RAN, answer)
        elif told == 'large answer':
            settle(ticket, errors.Execution.RAN)
        else:
            settle(ticket, errors.Execution.MAY_HAVE_RUN)

    def answer(self, ticket: claims.Ticket) -> claim_records.KeptAnswer:
        """Return the answer that a ticket's decision points to."""
        offset = ticket.future.result(timeout=0).answer_offset
        record = claim_records.decode(self.log.records[offset].payload)
        assert isinstance(record, claim_records.Ran)
        assert record.answer is not None
        return record.answer
