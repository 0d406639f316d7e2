"""Settings of a daemon, read from an INI file; all errors are reported at once."""

from __future__ import annotations

import configparser
import ipaddress
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import attrs

from flamingopond_core.findings import FindingCollector, collect_findings

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
_OPTION_PATTERN = re.compile(r"([^\s=:#;][^=:]*?)\s*[=:]")
_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Seed:
    """A peer to contact before the other members are known."""

    name: str
    address: str


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.match(text):
        raise ValueError("must be 1 to 63 letters, digits, dots, dashes or underscores")
    return text


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be ip:port with a port between 1 and 65535")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return text


def _parse_seeds(text: str) -> tuple[Seed, ...]:
    seeds = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        name, separator, address = entry.partition("=")
        if not separator:
            raise ValueError(f"{entry!r} is not name=ip:port")
        seeds.append(Seed(_parse_name(name.strip()), _parse_address(address.strip())))
    return tuple(seeds)


def _parse_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be an http or https URL")
    return text.rstrip("/")


def _parse_secret(text: str) -> str:
    if len(text) < 16:
        raise ValueError("must have at least 16 characters")
    return text


def _parse_digest(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_level(text: str) -> str:
    if text.lower() not in _LEVELS:
        raise ValueError(f"must be one of {', '.join(_LEVELS)}")
    return text.lower()


def _number_parser(low: float, high: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not low <= value <= high:
            raise ValueError(f"must be between {low:g} and {high:g}")
        return value

    return parse


def _integer_parser(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"{text!r} is not an integer") from None
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")
        return value

    return parse


def _setting(parse: Callable[[str], Any], default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={"parse": parse})


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Name, location and addresses of this node; peers connect to ``peers_address``."""

    name: str = _setting(_parse_name)
    availability_zone: str = _setting(_parse_name)
    region: str = _setting(_parse_name)
    callers_listen: str = _setting(_parse_address)
    operators_listen: str = _setting(_parse_address)
    peers_listen: str = _setting(_parse_address)
    peers_address: str = _setting(_parse_address)
    seeds: tuple[Seed, ...] = _setting(_parse_seeds, ())


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """URLs and limits of the platform's services."""

    table_url: str = _setting(_parse_url)
    objects_url: str = _setting(_parse_url)
    vms_url: str = _setting(_parse_url)
    weights_url: str = _setting(_parse_url)
    loads_per_second: float = _setting(_number_parser(0.01, 1000), 2.0)
    parallel_loads: int = _setting(_integer_parser(1, 10_000), 16)
    shards: int = _setting(_integer_parser(1, 65_535), 256)
    adapter_parallel: int = _setting(_integer_parser(1, 10_000), 70)
    request_timeout_s: float = _setting(_number_parser(0.05, 60), 1.0)


@attrs.frozen(kw_only=True)
class SecuritySettings:
    """The secret shared by all peers and the digest of the operators' key."""

    deployment_secret: str = attrs.field(repr=False, metadata={"parse": _parse_secret})
    operator_key_digest: str = attrs.field(
        repr=False, metadata={"parse": _parse_digest}
    )


@attrs.frozen(kw_only=True)
class ServingSettings:
    """Limits for serving callers' requests."""

    first_token_target_s: float = _setting(_number_parser(0.01, 60), 0.44)
    engine_discovery_s: float = _setting(_number_parser(0, 3600), 15.0)
    isolation_grace_s: float = _setting(_number_parser(0, 86_400), 8.0)
    calls_per_target: int = _setting(_integer_parser(1, 10_000), 32)
    caller_stall_s: float = _setting(_number_parser(1, 3600), 20.0)
    stream_silence_s: float = _setting(_number_parser(0.1, 60), 2.0)
    drain_timeout_s: float = _setting(_number_parser(0, 3600), 120.0)


@attrs.frozen(kw_only=True)
class LogSettings:
    """Settings of the log."""

    level: str = _setting(_parse_level, "info")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings, with one attribute per section of the file."""

    node: NodeSettings
    platform: PlatformSettings
    security: SecuritySettings
    serving: ServingSettings = ServingSettings()
    log: LogSettings = LogSettings()


_SECTIONS: Mapping[str, Any] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "security": SecuritySettings,
    "serving": ServingSettings,
    "log": LogSettings,
}


def load_settings(path: Path) -> Settings:
    """Read the settings file at ``path``.

    Raises ``InvalidInputError`` with every finding, each with file, line, section
    and key.
    """
    with collect_findings() as findings:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            findings.add(str(path), f"cannot be read: {error}")
            text = ""
    return parse_settings(text, str(path))


def parse_settings(text: str, file: str) -> Settings:
    """Parse settings from INI ``text``; ``file`` is only used in findings.

    Raises ``InvalidInputError`` with every finding.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", inline_comment_prefixes=None
    )
    with collect_findings() as findings:
        try:
            parser.read_string(text, file)
        except configparser.MissingSectionHeaderError as error:
            findings.add(f"{file}:{error.lineno}", "is outside of any section")
        except configparser.ParsingError as error:
            for line, content in error.errors:
                findings.add(f"{file}:{line}", f"cannot be parsed: {content}")
        except configparser.DuplicateSectionError as error:
            findings.add(f"{file}:{error.lineno} [{error.section}]", "repeated section")
        except configparser.DuplicateOptionError as error:
            place = f"{file}:{error.lineno} [{error.section}] {error.option}"
            findings.add(place, "repeated key")
    with collect_findings() as findings:
        lines = _line_index(text)
        for section in parser.sections():
            if section not in _SECTIONS:
                line = lines.get((section, ""), 0)
                findings.add(f"{file}:{line} [{section}]", "unknown section")
        sections = {
            name: _parse_section(parser, name, cls, file, lines, findings)
            for name, cls in _SECTIONS.items()
        }
    return Settings(**sections)


def _parse_section(
    parser: configparser.ConfigParser,
    section: str,
    cls: Any,
    file: str,
    lines: Mapping[tuple[str, str], int],
    findings: FindingCollector,
) -> Any:
    present = dict(parser[section]) if parser.has_section(section) else {}
    header = lines.get((section, ""), 0)
    findings_before = len(findings.findings)
    values = {}
    fields = {field.name: field for field in attrs.fields(cls)}
    for key, text in present.items():
        place = f"{file}:{lines.get((section, key), header)} [{section}] {key}"
        if key not in fields:
            findings.add(place, "unknown key")
            continue
        try:
            values[key] = fields[key].metadata["parse"](text.strip())
        except ValueError as error:
            findings.add(place, str(error))
    for key, field in fields.items():
        if key not in present and field.default is attrs.NOTHING:
            findings.add(f"{file}:{header} [{section}] {key}", "is missing")
    return cls(**values) if len(findings.findings) == findings_before else None


def _line_index(text: str) -> dict[tuple[str, str], int]:
    """Map (section, key) to its line number; key "" is the section's header.

    ``configparser`` does not keep line numbers.
    """
    index: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith("[") and "]" in line:
            section = line[1 : line.index("]")]
            index.setdefault((section, ""), number)
        elif line[:1] not in ("", " ", "\t", "#", ";") and (
            match := _OPTION_PATTERN.match(line)
        ):
            index.setdefault((section, match.group(1).strip().lower()), number)
    return index
