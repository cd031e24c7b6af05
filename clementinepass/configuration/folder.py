"""The operators' folder of INI files, merged in file name order."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass import errors
from clementinepass.ini import reader

if typing.TYPE_CHECKING:
    import pathlib

PATTERN = '*.ini'


@dataclasses.dataclass(slots=True)
class Sections:
    """All sections of a folder, merged, with the position of each key."""

    by_name: dict[str, reader.Section] = dataclasses.field(
        default_factory=dict,
    )

    @classmethod
    def from_documents(
        cls,
        documents: typing.Iterable[reader.Document],
    ) -> Sections:
        """Merge documents; keys of later documents override earlier ones."""
        merged = cls()
        for document in documents:
            for section in document.sections_by_name.values():
                merged._merge(section)
        return merged

    @classmethod
    def from_values(
        cls,
        values_by_section: typing.Mapping[str, typing.Mapping[str, str]],
        file: str,
    ) -> Sections:
        """Return sections from plain values, such as those in force.

        :param file: the name that faults give as the file.
        """
        merged = cls()
        for name, texts_by_key in values_by_section.items():
            entries_by_key = {
                key: reader.Entry(text, file, 0)
                for key, text in texts_by_key.items()
            }
            section = reader.Section(name, file, 0, entries_by_key)
            merged.by_name[name] = section
        return merged

    def texts_by_key(self, name: str) -> dict[str, str]:
        """Return the texts of one section by key."""
        entries_by_key = self.by_name[name].entries_by_key
        return {key: entry.text for key, entry in entries_by_key.items()}

    def _merge(self, section: reader.Section) -> None:
        earlier = self.by_name.get(section.name)
        if earlier is None:
            self.by_name[section.name] = reader.Section(
                section.name,
                section.file,
                section.line,
                dict(section.entries_by_key),
            )
        else:
            earlier.entries_by_key.update(section.entries_by_key)


def read(path: pathlib.Path) -> Sections:
    """Read and merge all files of a folder.

    :raises ExceptionGroup: of ``ConfigurationError``, one for each fault.
    """
    documents = [reader.read(file) for file in _files(path)]
    faults = [fault for document in documents for fault in document.faults]
    if not documents:
        # Otherwise a mistyped path would be taken for an empty configuration,
        # which removes every section.
        detail = f'holds no {PATTERN} file'
        faults.append(reader.Fault(path.name, 0, path.name, detail))
    raise_faults(faults)
    return Sections.from_documents(documents)


def raise_faults(faults: typing.Sequence[reader.Fault]) -> None:
    """Raise all faults as one exception group, if there are any."""
    if faults:
        raise ExceptionGroup(
            'the configuration has faults',
            [
                errors.ConfigurationError(
                    fault.detail,
                    file=fault.file,
                    line=fault.line,
                    key=fault.key,
                )
                for fault in faults
            ],
        )


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    files = path.glob(PATTERN)
    return sorted(file for file in files if not file.name.startswith('.'))
