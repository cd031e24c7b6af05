"""Parse INI files and text and keep the line number of each key."""

from __future__ import annotations

import configparser
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import pathlib

_COMMENT_PREFIXES = ('#', ';')
_DELIMITER = '='


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a file."""

    #: The name of the file.
    file: str
    #: The line, counted from 1; 0 for the file as a whole.
    line: int
    #: The section or key that has the fault.
    key: str
    #: A description of the fault.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The value of one key as text, with its location."""

    text: str
    file: str
    line: int


@dataclasses.dataclass(slots=True)
class Section:
    """One section of a file."""

    name: str
    #: The name of the file.
    file: str
    #: The line of the section's header, counted from 1.
    line: int
    entries_by_key: dict[str, Entry] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Document:
    """The content of one file and all faults found in it."""

    #: The name of the file.
    file: str
    sections_by_name: dict[str, Section] = dataclasses.field(
        default_factory=dict,
    )
    faults: list[Fault] = dataclasses.field(default_factory=list)


def read(path: pathlib.Path) -> Document:
    """Read and parse a file; failures to read or decode it are faults."""
    try:
        text = path.read_bytes().decode('utf-8')
    except OSError as failure:
        detail = f'cannot be read: {failure.strerror}'
    except UnicodeDecodeError as failure:
        detail = f'is not valid UTF-8 at byte {failure.start}'
    else:
        return parse(text, path.name)
    fault = Fault(path.name, 0, path.name, detail)
    return Document(path.name, faults=[fault])


def parse(text: str, file: str) -> Document:
    """Parse INI text; ``file`` is the file name to use in faults."""
    document = Document(file)
    parser = configparser.RawConfigParser(
        delimiters=(_DELIMITER,),
        comment_prefixes=_COMMENT_PREFIXES,
        empty_lines_in_values=False,
        default_section='',
        strict=False,
    )
    parser.optionxform = str  # type: ignore[method-assign,assignment]
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as missing:
        document.faults.append(
            Fault(file, missing.lineno, file, 'is before the first section'),
        )
    except configparser.ParsingError as malformed:
        document.faults.extend(
            Fault(file, line, file, f'is neither section nor key: {shown}')
            for line, shown in malformed.errors
        )
    _Locator(document, parser).locate(text)
    return document


class _Locator:
    """Add line numbers, which configparser does not keep, to its result."""

    __slots__ = ('_document', '_parser', '_section')

    def __init__(
        self,
        document: Document,
        parser: configparser.RawConfigParser,
    ) -> None:
        self._document = document
        self._parser = parser
        self._section: Section | None = None

    def locate(self, text: str) -> None:
        """Add the sections and keys with their lines; report duplicates."""
        # configparser splits lines at line feeds only, unlike splitlines().
        for line_number, line in enumerate(text.split('\n'), start=1):
            stripped = line.strip()
            if not stripped or stripped.startswith(_COMMENT_PREFIXES):
                continue
            if line[0].isspace():
                self._add_fault(line_number, stripped, 'must not be indented')
            elif self._parse_header(stripped) is not None:
                self._enter_section(
                    line_number, self._parse_header(stripped) or ''
                )
            elif _DELIMITER in stripped:
                self._add_key(
                    line_number, stripped.partition(_DELIMITER)[0].strip()
                )

    def _parse_header(self, stripped: str) -> str | None:
        match = self._parser.SECTCRE.match(stripped)
        return match.group('header') if match else None

    def _enter_section(self, line_number: int, name: str) -> None:
        earlier = self._document.sections_by_name.get(name)
        if earlier is not None:
            self._add_fault(line_number, name, 'duplicate section')
        section = earlier or Section(name, self._document.file, line_number)
        self._document.sections_by_name[name] = section
        self._section = section

    def _add_key(self, line_number: int, key: str) -> None:
        section = self._section
        if section is None or not self._parser.has_option(section.name, key):
            return
        if key in section.entries_by_key:
            self._add_fault(
                line_number, key, f'duplicate key in [{section.name}]'
            )
            return
        section.entries_by_key[key] = Entry(
            self._parser.get(section.name, key),
            self._document.file,
            line_number,
        )

    def _add_fault(self, line_number: int, key: str, detail: str) -> None:
        fault = Fault(self._document.file, line_number, key, detail)
        self._document.faults.append(fault)
