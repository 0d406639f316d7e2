"""Reads, writes and compares the INI form of configuration objects.

A section's header consists of a kind and a name, as in ``[contract volunteers]``.
"""

from __future__ import annotations

import configparser
from collections.abc import Iterable, Iterator, Mapping

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.enums import ObjectKind
from flamingopond_core.fields import read_object, to_text
from flamingopond_core.findings import Finding, FindingCollector
from flamingopond_core.objects import (
    NAME_FIELDS,
    Change,
    ConfigObject,
    ObjectId,
    name_of,
    to_fields,
)


@attrs.frozen
class IniDocument:
    """A parsed INI file; ``unreadable`` lists objects whose sections have findings.

    ``lines`` holds the line of each section and key.
    """

    file: str
    objects: Mapping[ObjectId, ConfigObject]
    unreadable: frozenset[ObjectId]
    findings: tuple[Finding, ...]
    lines: Mapping[tuple[str, str | None], int]

    def place(self, section: str, key: str | None = None) -> str:
        """Return a place in the file as text: file, line, section and key."""
        line = self.lines.get((section, key)) or self.lines.get((section, None))
        return _format_place(self.file, line, section, key)

    def locate(self, finding: Finding) -> Finding:
        """Add the place in the file to a finding of ``Configuration.check``."""
        section, _, key = finding.place.partition(", ")
        if (section, None) not in self.lines:
            return finding
        return Finding(self.place(section, key or None), finding.message)


@attrs.frozen
class Difference:
    """One object that differs; ``None`` means that it is absent."""

    kind: ObjectKind
    name: str
    before: ConfigObject | None
    after: ConfigObject | None

    @property
    def change(self) -> Change:
        """The change that turns ``before`` into ``after``."""
        return Change(self.kind, self.name, self.after)

    def changed_fields(self) -> dict[str, tuple[object, object]]:
        """Return the fields that differ, as (before, after)."""
        before = to_fields(self.before) if self.before else {}
        after = to_fields(self.after) if self.after else {}
        return {
            field: (before.get(field), after.get(field))
            for field in before | after
            if before.get(field) != after.get(field)
        }


def read_ini(text: str, file: str) -> IniDocument:
    """Parse the INI form; the document lists all findings."""
    findings = FindingCollector()
    parser = _LineParser(file, findings)
    try:
        parser.read_file(parser.track(text), file)
    except configparser.MissingSectionHeaderError as error:
        findings.add(
            _format_place(file, error.lineno), "the file must begin with a section"
        )
    except configparser.ParsingError as error:
        for line, content in error.errors:
            findings.add(_format_place(file, line), f"cannot be read: {content}")
    objects: dict[ObjectId, ConfigObject] = {}
    unreadable: set[ObjectId] = set()
    for section in parser.sections():

        def place(key: str | None, section: str = section) -> str:
            line = parser.lines.get((section, key)) or parser.lines[section, None]
            return _format_place(file, line, section, key)

        kind_text, _, name = section.partition(" ")
        if kind_text not in set(ObjectKind):
            kinds = ", ".join(ObjectKind)
            findings.add(place(None), f"unknown kind {kind_text!r}, not one of {kinds}")
            continue
        object_id = ObjectKind(kind_text), name
        value = read_object(*object_id, dict(parser.items(section)), findings, place)
        if value is None:
            unreadable.add(object_id)
        else:
            objects[object_id] = value
    return IniDocument(
        file, objects, frozenset(unreadable), findings.findings, parser.lines
    )


def write_ini(values: Iterable[tuple[ObjectKind, ConfigObject]]) -> str:
    """Return the INI form of objects, as read by ``read_ini``."""
    sections = []
    for kind, value in values:
        lines = [f"[{kind.value} {name_of(kind, value)}]"]
        for field, content in to_fields(value).items():
            if field != NAME_FIELDS[kind]:
                lines.append(f"{field} = {to_text(content)}")
        sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def compare(
    configuration: Configuration,
    objects: Mapping[ObjectId, ConfigObject],
    *,
    prune: bool = False,
) -> tuple[Difference, ...]:
    """Return what must change in ``configuration`` to apply ``objects``.

    With ``prune``, objects that are not listed are deleted. Keys are granted by
    command and need not be listed, so a key is deleted only with its contract.
    """
    differences = []
    for (kind, name), after in objects.items():
        before = configuration.objects(kind).get(name)
        if before != after:
            differences.append(Difference(kind, name, before, after))
    if prune:
        for kind in ObjectKind:
            for name, before in configuration.objects(kind).items():
                if (kind, name) in objects:
                    continue
                if (
                    kind is ObjectKind.KEY
                    and (ObjectKind.CONTRACT, configuration.keys[name].workspace)
                    in objects
                ):
                    continue
                differences.append(Difference(kind, name, before, None))
    return tuple(differences)


def check_document(
    configuration: Configuration, document: IniDocument, *, prune: bool = False
) -> tuple[tuple[Difference, ...], tuple[Finding, ...]]:
    """Return the differences and all findings, with their places in the file."""
    differences = compare(configuration, document.objects, prune=prune)
    findings = list(document.findings)
    if differences:
        # An object that could not be read already has a finding; references to it
        # should not add another.
        checked = configuration.check(
            [difference.change for difference in differences],
            assumed=document.unreadable,
        )
        findings.extend(document.locate(finding) for finding in checked)
    return differences, tuple(findings)


class _LineParser(configparser.RawConfigParser):
    """Records the line of each section and key, and reports duplicates."""

    def __init__(self, file: str, findings: FindingCollector) -> None:
        # Keys of a default section would be added to every other section.
        super().__init__(strict=False, default_section="", empty_lines_in_values=False)
        self.lines: dict[tuple[str, str | None], int] = {}
        self._file = file
        self._findings = findings
        self._line_number = 0
        self._section = ""
        self._reading = False

    def track(self, text: str) -> Iterator[str]:
        """Yield the lines of ``text``, tracking the line and section being parsed."""
        self._reading = True
        for self._line_number, line in enumerate(text.splitlines(keepends=True), 1):
            header = self.SECTCRE.match(line)
            if header:
                self._section = header["header"]
                self._record_line(None, "section occurs twice")
            yield line
        self._reading = False

    def optionxform(self, optionstr: str) -> str:
        """Return the key unchanged; the parser calls this for each key."""
        if self._reading:
            self._record_line(optionstr, f"key {optionstr!r} occurs twice")
        return optionstr

    def _record_line(self, key: str | None, message: str) -> None:
        first = self.lines.setdefault((self._section, key), self._line_number)
        if first != self._line_number:
            place = _format_place(self._file, self._line_number, self._section, key)
            self._findings.add(place, f"{message}, first in line {first}")


def _format_place(
    file: str, line: int | None, section: str | None = None, key: str | None = None
) -> str:
    place = file if line is None else f"{file}:{line}"
    if section is not None:
        place += f" [{section}]"
    return f"{place} {key}" if key is not None else place
