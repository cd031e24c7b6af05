"""Encode and decode the messages of the direct path as Cap'n Proto."""

from __future__ import annotations

import math
import pathlib
import socket
import typing

import capnp

from clementinepass import errors
from clementinepass.direct import (
    evidence_reports,
    heartbeats,
    members,
    part_sets,
    records,
)
from clementinepass.direct.placement import messages as slot_messages
from clementinepass.requests import quarantine

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('direct.capnp')))
_PHASES = tuple(members.Phase)
_MS_PER_SECOND = 1000
_MICROS_PER_SECOND = 1_000_000
_HUNDREDTHS = 100
_IP_BYTES = 4
#: The largest number of requests that a message can carry.
_MAX_COUNT = 65535
#: The highest age in milliseconds that a message can carry.
_MAX_AGE_MS = 2**32 - 1


def write_heartbeat(heartbeat: heartbeats.Heartbeat) -> bytes:
    """Encode a heartbeat as a datagram."""
    message = _SCHEMA.Heartbeat.new_message()
    if heartbeat.load is not None:
        _write_load(message.init('load'), heartbeat.load)
        return bytes(message.to_bytes_packed())
    if heartbeat.slot is not None:
        _write_slot(message.init('slot'), heartbeat.slot)
        return bytes(message.to_bytes_packed())
    if heartbeat.wanted_part_sets or heartbeat.part_sets:
        _write_part_sets(message, heartbeat)
        return bytes(message.to_bytes_packed())
    if heartbeat.sender is not None:
        _write_member(message.sender, heartbeat.sender)
    for slot, member in zip(
        message.init('members', len(heartbeat.members)),
        heartbeat.members,
        strict=True,
    ):
        _write_member(slot, member)
    _write_digests(message, heartbeat)
    loads = message.init('loads', len(heartbeat.in_flight_by_endpoint))
    pairs = heartbeat.in_flight_by_endpoint.items()
    for slot, (endpoint, in_flight) in zip(loads, pairs, strict=True):
        slot.endpoint = endpoint
        slot.inFlight = min(in_flight, _MAX_COUNT)
    message.follow.operatorOffset = heartbeat.operator_offset
    message.follow.endpointsOffset = heartbeat.endpoints_offset
    message.follow.configuration = heartbeat.configuration_version
    message.follow.operatorEndsMs = int(
        heartbeat.operator_read_ends_in * _MS_PER_SECOND
    )
    message.follow.endpointsEndsMs = int(
        heartbeat.endpoints_read_ends_in * _MS_PER_SECOND
    )
    message.follow.operatorContactMs = _age_ms(heartbeat.operator_contact_age)
    _write_distances(message, heartbeat)
    message.wantsLoad = heartbeat.wants_load
    message.asks = heartbeat.wants_introduction
    _write_versions(message, heartbeat)
    _write_engine_statuses(message, heartbeat)
    _write_crash_evidence(message, heartbeat.crash_evidence)
    _write_limits(message, heartbeat)
    return bytes(message.to_bytes_packed())


def read_heartbeat(payload: bytes, peer: str) -> heartbeats.Heartbeat:
    """Decode a heartbeat.

    :raises MalformedMessageError: the bytes are not a heartbeat.
    """
    try:
        message = _SCHEMA.Heartbeat.from_bytes_packed(payload)
        if message._has('load'):
            return heartbeats.Heartbeat(load=_read_load(message.load))
        if message._has('slot'):
            return heartbeats.Heartbeat(slot=_read_slot(message.slot))
        if message._has('wantedSets') or message._has('partSets'):
            return _read_part_sets(message)
        return _read_heartbeat_fields(message)
    except (capnp.KjException, IndexError, UnicodeDecodeError) as error:
        raise errors.MalformedMessageError(
            str(error),
            step='read a heartbeat',
            peer=peer,
        ) from error


def write_records(page: records.Page) -> bytes:
    """Encode records of the store as one message."""
    message = _SCHEMA.Records.new_message()
    slots = message.init('records', len(page.records))
    for slot, record in zip(slots, page.records, strict=True):
        slot.key = record.key
        slot.offset = record.offset
        slot.removed = record.payload is None
        slot.payload = record.payload or b''
    message.nextOffset = page.next_offset
    if page.outage_age is not None:
        message.afterOutage = True
        message.outageAgeMs = int(page.outage_age * _MS_PER_SECOND)
    message.snapshot = page.is_snapshot
    return bytes(message.to_bytes_packed())


def read_records(payload: bytes, peer: str) -> records.Page:
    """Decode records of the store.

    :raises MalformedMessageError: the bytes are not records.
    """
    try:
        message = _SCHEMA.Records.from_bytes_packed(payload)
        decoded = tuple(
            records.Record(
                record.key,
                record.offset,
                None if record.removed else bytes(record.payload),
            )
            for record in message.records
        )
        return records.Page(
            decoded,
            message.nextOffset,
            message.outageAgeMs / _MS_PER_SECOND
            if message.afterOutage
            else None,
            message.snapshot,
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise errors.MalformedMessageError(
            str(error),
            step='read records',
            peer=peer,
        ) from error


def _write_member(slot: typing.Any, member: members.Member) -> None:
    slot.ip = member.ip
    slot.boot = member.boot
    slot.heartbeat = member.heartbeat
    slot.phase = _PHASES.index(member.phase)
    slot.callers = member.callers_address
    slot.domain = member.domain
    slot.region = member.region


def _write_digests(
    message: typing.Any,
    heartbeat: heartbeats.Heartbeat,
) -> None:
    slots = message.init('digests', len(heartbeat.digests))
    for slot, digest in zip(slots, heartbeat.digests, strict=True):
        slot.ip = int.from_bytes(socket.inet_aton(digest.ip), 'big')
        slot.boot = digest.boot
        slot.heartbeat = digest.heartbeat
        slot.phase = _PHASES.index(digest.phase)


def _write_versions(
    message: typing.Any, heartbeat: heartbeats.Heartbeat
) -> None:
    slots = message.init('versions', len(heartbeat.desired_versions))
    for slot, desired in zip(slots, heartbeat.desired_versions, strict=True):
        slot.model = desired.model
        slot.version = desired.version
        slot.ageMs = _age_ms(desired.age)
        slot.guessed = desired.guessed


def _write_engine_statuses(
    message: typing.Any, heartbeat: heartbeats.Heartbeat
) -> None:
    slots = message.init('held', len(heartbeat.engine_statuses))
    for slot, status in zip(slots, heartbeat.engine_statuses, strict=True):
        slot.address = status.address
        slot.version = status.version
        slot.first = status.first
        slot.end = status.end
        slot.congested = status.congested
        slot.started = status.started_ms


def _write_crash_evidence(
    message: typing.Any, report: evidence_reports.Report
) -> None:
    crashes = message.init('crashes', len(report.crashes))
    for slot, crash in zip(crashes, report.crashes, strict=True):
        slot.id = crash.id
        slot.ageMs = _age_ms(crash.at)
        suspects = slot.init('suspects', len(crash.suspects))
        for suspect_slot, suspect in zip(suspects, crash.suspects, strict=True):
            suspect_slot.fingerprint = bytes.fromhex(suspect.fingerprint)
            suspect_slot.leadMs = _age_ms(suspect.started - crash.at)
    clearances = message.init('clearances', len(report.clearances))
    for slot, clearance in zip(clearances, report.clearances, strict=True):
        slot.fingerprint = bytes.fromhex(clearance.fingerprint)
        slot.crashes = list(clearance.crashes)
    _write_part_evidence(message, report)


def _write_part_evidence(
    message: typing.Any, report: evidence_reports.Report
) -> None:
    crashes = message.init('partCrashes', len(report.part_crashes))
    for slot, crash in zip(crashes, report.part_crashes, strict=True):
        slot.id = crash.id
        slot.ageMs = _age_ms(crash.at)
        slot.target = crash.target
        prompts = slot.init('prompts', len(crash.prompts))
        for prompt_slot, prompt in zip(prompts, crash.prompts, strict=True):
            prompt_slot.fingerprint = bytes.fromhex(prompt.fingerprint)
            prompt_slot.parts = _numbers(prompt.parts)
            prompt_slot.sets = _numbers(prompt.set_ids)
    answers = message.init('partAnswers', len(report.part_answers))
    for slot, answer in zip(answers, report.part_answers, strict=True):
        slot.crash = answer.crash_id
        slot.recent = answer.is_recent
        slot.parts = _numbers(answer.parts)
        slot.sets = _numbers(answer.set_ids)


def _write_part_sets(
    message: typing.Any, heartbeat: heartbeats.Heartbeat
) -> None:
    if heartbeat.wanted_part_sets:
        message.wantedSets = _numbers(heartbeat.wanted_part_sets)
    if not heartbeat.part_sets:
        return
    slots = message.init('partSets', len(heartbeat.part_sets))
    for slot, part_set in zip(slots, heartbeat.part_sets, strict=True):
        slot.id = int(part_set.id, 16)
        slot.parts = _numbers(part_set.parts)


def _numbers(digests: typing.Iterable[str]) -> list[int]:
    return [int(digest, 16) for digest in digests]


def _digests(numbers: typing.Iterable[int]) -> tuple[str, ...]:
    return tuple(f'{number:016x}' for number in numbers)


def _write_distances(
    message: typing.Any, heartbeat: heartbeats.Heartbeat
) -> None:
    slots = message.init('distances', len(heartbeat.store_distances))
    pairs = heartbeat.store_distances.items()
    for slot, (region, seconds) in zip(slots, pairs, strict=True):
        slot.region = region
        slot.micros = min(round(seconds * _MICROS_PER_SECOND), _MAX_AGE_MS)


def _write_limits(message: typing.Any, heartbeat: heartbeats.Heartbeat) -> None:
    slots = message.init('limits', len(heartbeat.endpoint_limits))
    for slot, limit in zip(slots, heartbeat.endpoint_limits, strict=True):
        slot.endpoint = limit.endpoint_id
        slot.started = limit.started_ms
        slot.rate = limit.rate or 0
        slot.ended = limit.rate is None
        slot.ageMs = _age_ms(limit.age)


def _read_limit(slot: typing.Any) -> heartbeats.EndpointLimit:
    if not 0 <= slot.rate < math.inf:
        raise errors.MalformedMessageError(
            f'endpoint {slot.endpoint!r} has a limit of {slot.rate} a second',
            step='read a heartbeat',
            peer='',
        )
    return heartbeats.EndpointLimit(
        slot.endpoint,
        slot.started,
        None if slot.ended else slot.rate,
        slot.ageMs / _MS_PER_SECOND,
    )


def _read_crash(slot: typing.Any) -> quarantine.Crash:
    return quarantine.Crash(
        slot.id,
        slot.ageMs / _MS_PER_SECOND,
        tuple(
            quarantine.Suspect(
                suspect.fingerprint.hex(),
                (slot.ageMs + suspect.leadMs) / _MS_PER_SECOND,
            )
            for suspect in slot.suspects
        ),
    )


def _read_part_crash(slot: typing.Any) -> evidence_reports.PartCrash:
    return evidence_reports.PartCrash(
        slot.id,
        slot.ageMs / _MS_PER_SECOND,
        slot.target,
        tuple(
            evidence_reports.Prompt(
                prompt.fingerprint.hex(),
                _digests(prompt.parts),
                _digests(prompt.sets),
            )
            for prompt in slot.prompts
        ),
    )


def _read_part_answer(slot: typing.Any) -> evidence_reports.PartAnswer:
    return evidence_reports.PartAnswer(
        slot.crash, slot.recent, _digests(slot.parts), _digests(slot.sets)
    )


def _read_part_sets(message: typing.Any) -> heartbeats.Heartbeat:
    return heartbeats.Heartbeat(
        wanted_part_sets=_digests(message.wantedSets),
        part_sets=tuple(
            part_sets.PartSet(f'{slot.id:016x}', _digests(slot.parts))
            for slot in message.partSets
        ),
    )


def _read_crash_evidence(message: typing.Any) -> evidence_reports.Report:
    return evidence_reports.Report(
        quarantine.Digest(
            tuple(map(_read_crash, message.crashes)),
            tuple(
                quarantine.Clearance(
                    clearance.fingerprint.hex(), tuple(clearance.crashes)
                )
                for clearance in message.clearances
            ),
        ),
        tuple(map(_read_part_crash, message.partCrashes)),
        tuple(map(_read_part_answer, message.partAnswers)),
    )


def _age_ms(seconds: float) -> int:
    return min(max(round(seconds * _MS_PER_SECOND), 0), _MAX_AGE_MS)


def _read_heartbeat_fields(message: typing.Any) -> heartbeats.Heartbeat:
    sender = _read_member(message.sender)
    return heartbeats.Heartbeat(
        sender=sender if sender.ip else None,
        members=tuple(map(_read_member, message.members)),
        digests=tuple(map(_read_digest, message.digests)),
        wants_introduction=message.asks,
        in_flight_by_endpoint={
            load.endpoint: load.inFlight for load in message.loads
        },
        operator_offset=message.follow.operatorOffset,
        endpoints_offset=message.follow.endpointsOffset,
        configuration_version=message.follow.configuration,
        operator_read_ends_in=message.follow.operatorEndsMs / _MS_PER_SECOND,
        endpoints_read_ends_in=message.follow.endpointsEndsMs / _MS_PER_SECOND,
        operator_contact_age=message.follow.operatorContactMs / _MS_PER_SECOND,
        store_distances={
            distance.region: distance.micros / _MICROS_PER_SECOND
            for distance in message.distances
        },
        desired_versions=tuple(
            heartbeats.DesiredVersion(
                desired.model,
                desired.version,
                desired.ageMs / _MS_PER_SECOND,
                desired.guessed,
            )
            for desired in message.versions
        ),
        engine_statuses=tuple(map(_read_engine_status, message.held)),
        wants_load=message.wantsLoad,
        crash_evidence=_read_crash_evidence(message),
        endpoint_limits=tuple(map(_read_limit, message.limits)),
    )


def _write_load(slot: typing.Any, load: heartbeats.EngineLoad) -> None:
    slot.active = min(load.active, _MAX_COUNT)
    slot.queued = min(load.queued, _MAX_COUNT)
    slot.started = load.started_ms
    slot.slowdown = min(
        max(round((load.pace - 1) * _HUNDREDTHS), 0), _MAX_COUNT
    )


def _read_load(slot: typing.Any) -> heartbeats.EngineLoad:
    return heartbeats.EngineLoad(
        slot.active,
        slot.queued,
        slot.started,
        1 + slot.slowdown / _HUNDREDTHS,
    )


def _write_slot(target: typing.Any, message: slot_messages.SlotMessage) -> None:
    target.number = message.number
    if isinstance(message, slot_messages.SlotQuery):
        query = target.init('query')
        query.urgency = message.urgency
        query.timelyMs = _age_ms(message.timely_seconds)
        query.waitMs = _age_ms(message.wait_seconds)
    elif isinstance(message, slot_messages.SlotOffer):
        target.offer = message.started_ms
    else:
        setattr(target, 'return', None)


def _read_slot(source: typing.Any) -> slot_messages.SlotMessage:
    kind = source.which()
    if kind == 'query':
        return slot_messages.SlotQuery(
            source.number,
            source.query.urgency,
            source.query.timelyMs / _MS_PER_SECOND,
            source.query.waitMs / _MS_PER_SECOND,
        )
    if kind == 'offer':
        return slot_messages.SlotOffer(source.number, source.offer)
    return slot_messages.SlotReturn(source.number)


def _read_digest(slot: typing.Any) -> members.Digest:
    return members.Digest(
        socket.inet_ntoa(slot.ip.to_bytes(_IP_BYTES, 'big')),
        slot.boot,
        slot.heartbeat,
        _PHASES[slot.phase],
    )


def _read_engine_status(slot: typing.Any) -> heartbeats.EngineStatus:
    return heartbeats.EngineStatus(
        slot.address,
        slot.version,
        slot.first,
        slot.end,
        slot.congested,
        slot.started,
    )


def _read_member(slot: typing.Any) -> members.Member:
    return members.Member(
        ip=slot.ip,
        boot=slot.boot,
        heartbeat=slot.heartbeat,
        phase=_PHASES[slot.phase],
        callers_address=slot.callers,
        domain=slot.domain,
        region=slot.region,
    )
