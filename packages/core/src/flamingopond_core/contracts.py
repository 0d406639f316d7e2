"""INI form of the configuration: contracts and all other objects.

Each section is headed by a kind and a name, as in ``[contract volunteers]``.
"""

from __future__ import annotations

import configparser
from collections.abc import Iterable, Iterator, Mapping

import attrs

from flamingopond_core.configuration import Configuration
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
from flamingopond_core.structures import ObjectKind


@attrs.frozen
class Document:
    """What an INI file says; ``unreadable`` are sections with findings."""

    file: str
    objects: Mapping[ObjectId, ConfigObject]
    unreadable: frozenset[ObjectId]
    findings: tuple[Finding, ...]
    lines: Mapping[tuple[str, str | None], int]

    def place(self, section: str, key: str | None = None) -> str:
        """Return file, line, section and key as one text."""
        line = self.lines.get((section, key)) or self.lines.get((section, None))
        return _place(self.file, line, section, key)

    def locate(self, finding: Finding) -> Finding:
        """Return a finding of ``Configuration.check`` with its place in the file."""
        section, _, key = finding.place.partition(", ")
        if (section, None) not in self.lines:
            return finding
        return Finding(self.place(section, key or None), finding.message)


@attrs.frozen
class Difference:
    """One object that differs; ``None`` stands for its absence."""

    kind: ObjectKind
    name: str
    before: ConfigObject | None
    after: ConfigObject | None

    @property
    def change(self) -> Change:
        """The change that leads from before to after."""
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


def read_ini(text: str, file: str) -> Document:
    """Read the INI form; findings are returned in the document, all of them."""
    findings = FindingCollector()
    parser = _LineParser(file, findings)
    try:
        parser.read_file(parser.track(text), file)
    except configparser.MissingSectionHeaderError as error:
        findings.add(_place(file, error.lineno), "the file must begin with a section")
    except configparser.ParsingError as error:
        for line, content in error.errors:
            findings.add(_place(file, line), f"cannot be read: {content}")
    objects: dict[ObjectId, ConfigObject] = {}
    unreadable: set[ObjectId] = set()
    for section in parser.sections():

        def place(key: str | None, section: str = section) -> str:
            line = parser.lines.get((section, key)) or parser.lines[section, None]
            return _place(file, line, section, key)

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
    return Document(
        file, objects, frozenset(unreadable), findings.findings, parser.lines
    )


def write_ini(values: Iterable[tuple[ObjectKind, ConfigObject]]) -> str:
    """Return the INI form of objects; ``read_ini`` reads it back."""
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
    """Return what must change for ``objects`` to be in force.

    With ``prune``, objects that are not listed are deleted. Keys are kept even
    then, because they are granted by command and listed in no file; a key goes
    only together with its contract.
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
    configuration: Configuration, document: Document, *, prune: bool = False
) -> tuple[tuple[Difference, ...], tuple[Finding, ...]]:
    """Return the differences and every finding, with places in the file."""
    differences = compare(configuration, document.objects, prune=prune)
    findings = list(document.findings)
    if differences:
        # An object that could not be read has a finding of its own; those that
        # refer to it get no second one.
        checked = configuration.check(
            [difference.change for difference in differences],
            assumed=document.unreadable,
        )
        findings.extend(document.locate(finding) for finding in checked)
    return differences, tuple(findings)


class _LineParser(configparser.RawConfigParser):
    """Remembers the line of each section and key, and notes repeated ones."""

    def __init__(self, file: str, findings: FindingCollector) -> None:
        # A default section would add its keys to every other section.
        super().__init__(strict=False, default_section="", empty_lines_in_values=False)
        self.lines: dict[tuple[str, str | None], int] = {}
        self._file = file
        self._findings = findings
        self._line = 0
        self._section = ""
        self._reading = False

    def track(self, text: str) -> Iterator[str]:
        """Yield the lines of ``text`` and follow the parser through them."""
        self._reading = True
        for self._line, line in enumerate(text.splitlines(keepends=True), 1):
            header = self.SECTCRE.match(line)
            if header:
                self._section = header["header"]
                self._note(None, "section occurs twice")
            yield line
        self._reading = False

    def optionxform(self, optionstr: str) -> str:
        """Return the key as written; the parser calls this for each key read."""
        if self._reading:
            self._note(optionstr, f"key {optionstr!r} occurs twice")
        return optionstr

    def _note(self, key: str | None, message: str) -> None:
        first = self.lines.setdefault((self._section, key), self._line)
        if first != self._line:
            place = _place(self._file, self._line, self._section, key)
            self._findings.add(place, f"{message}, first in line {first}")


def _place(
    file: str, line: int | None, section: str | None = None, key: str | None = None
) -> str:
    place = file if line is None else f"{file}:{line}"
    if section is not None:
        place += f" [{section}]"
    return f"{place} {key}" if key is not None else place
