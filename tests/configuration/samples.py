"""Sample configuration and publications for tests."""

from __future__ import annotations

from clementinepass.configuration import folder, records
from clementinepass.ini import reader

DIGEST = 'ab' * 32
BASE = f"""\
[team alpha]
key_sha256 = {DIGEST}
class = interactive
[version m-1]
model = m
manifest = {'cd' * 32}
[model m]
version = m-1
wave = 50%
[service desk]
idempotent = no
retry_after = 2s
[promise alpha/m]
concurrency = 4
first_token = 800ms
[promise alpha/desk]
concurrency = 2
first_token = 1s
"""


def sections(*texts: str) -> folder.Sections:
    """Parse and merge texts as files ``0.ini``, ``1.ini`` and so on."""
    documents = [
        reader.parse(text, f'{number}.ini') for number, text in enumerate(texts)
    ]
    folder.raise_faults([fault for doc in documents for fault in doc.faults])
    return folder.Sections.from_documents(documents)


def publication(
    unique_id: str,
    expected: dict[str, int],
    *,
    checked_at: int = 0,
    sets: tuple[str, ...] = (),
    removed: tuple[str, ...] = (),
) -> records.Publication:
    """Return a publication whose sections contain its id."""
    return records.Publication(
        id=unique_id,
        operator='olga',
        message='a change',
        checked_at=checked_at,
        expected_by_section=expected,
        set_by_section={name: {'by': unique_id} for name in sets},
        removed=removed,
    )
