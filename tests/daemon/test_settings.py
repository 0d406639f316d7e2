"""Parsing of settings files and the findings reported for them."""

from __future__ import annotations

import pytest

from flamingopond_core.exceptions import InvalidInputError
from flamingopond_daemon.settings import load_settings, parse_settings

VALID = """\
[node]
name = n1
availability_zone = a
region = r
callers_listen = 127.0.0.1:8001
operators_listen = 127.0.0.1:8002
peers_listen = 127.0.0.1:8003
peers_address = 127.0.0.1:8003
seeds = n2=127.0.0.1:9003, n3=127.0.0.1:9103

[platform]
table_url = http://127.0.0.1:7001
objects_url = http://127.0.0.1:7002
vms_url = http://127.0.0.1:7003
weights_url = http://127.0.0.1:7004

[security]
deployment_secret = 0123456789abcdef
operator_key_digest = ab

[serving]
first_token_target_s = 0.3
"""


def findings(text: str) -> list[str]:
    with pytest.raises(InvalidInputError) as caught:
        parse_settings(text, "f.ini")
    return [str(finding) for finding in caught.value.findings]


def test_valid_settings_with_defaults():
    settings = parse_settings(VALID, "f.ini")
    assert [seed.name for seed in settings.node.seeds] == ["n2", "n3"]
    assert settings.serving.first_token_target_s == 0.3
    assert settings.serving.drain_timeout_s == 120
    assert settings.platform.shards == 256
    assert "0123456789abcdef" not in repr(settings)


def test_all_findings_are_reported_together():
    """Guards against reporting only the first finding."""
    invalid = (
        VALID.replace("name = n1", "name = n 1")
        .replace("callers_listen = 127.0.0.1:8001", "callers_listen = localhost:8001")
        .replace("region = r\n", "")
        .replace("first_token_target_s = 0.3", "first_token_target = 0.3")
    ) + "[extra]\nx = 1\n"
    assert findings(invalid) == [
        "f.ini:22 [extra]: unknown section",
        "f.ini:2 [node] name: "
        "must be 1 to 63 letters, digits, dots, dashes or underscores",
        "f.ini:4 [node] callers_listen: 'localhost' is not an IP address",
        "f.ini:1 [node] region: is missing",
        "f.ini:21 [serving] first_token_target: unknown key",
    ]


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("name = n1\n", "f.ini:1"),
        ("[node]\nname = a\nname = b\n", "f.ini:3 [node] name"),
        ("[node]\n[node]\n", "f.ini:2 [node]"),
        ("[node]\nname\n", "f.ini:2"),
    ],
)
def test_malformed_files(text, place):
    """Guards against an uncaught parser error instead of a finding."""
    assert findings(text)[0].startswith(f"{place}: ")


def test_unreadable_file(tmp_path):
    with pytest.raises(InvalidInputError, match="cannot be read"):
        load_settings(tmp_path / "none.ini")
