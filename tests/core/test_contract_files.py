"""The INI form is parsed, and each finding names its place in the file."""

import re
from pathlib import Path

import pytest

from flamingopond_core.configuration import ChangeSet, Configuration, Key
from flamingopond_core.enums import ObjectKind
from flamingopond_core.ini_format import check_document, compare, read_ini, write_ini

K = ObjectKind
GOOD = """\
# The river project.
[contract volunteers]
priority = premium
rate = 120.5
burst = 400
models = drafter,
    river-*

[key k1]
workspace = volunteers
digest = {digest}

[model drafter]
version = 3
memory_mb = 4000
tokens_per_second = 50

[adapter river]
model = drafter

[engine e1]
address = 10.0.0.1:80
availability_zone = Gosaba
region = bengal-delta
memory_mb = 16000
checks_fencing = yes

[service desk]
addresses = 10.0.0.2:80, 10.0.0.3:80
idempotent = GET *, POST /lookup

[route desk]
path = /services/desk
service = desk
open = no
""".format(digest="ab" * 32)


def applied(text: str) -> Configuration:
    configuration = Configuration()
    differences, findings = check_document(configuration, read_ini(text, "a.ini"))
    assert findings == ()
    changes = tuple(difference.change for difference in differences)
    configuration.apply(ChangeSet("op", "t", 0, 1, changes))
    return configuration


def test_written_form_reads_back() -> None:
    """Guards against fields lost between writing and reading."""
    configuration = applied(GOOD)
    assert configuration.contracts["volunteers"].models == ("drafter", "river-*")
    assert configuration.services["desk"].idempotent == ("GET *", "POST /lookup")
    values = [
        (kind, value) for kind in K for value in configuration.objects(kind).values()
    ]
    again = read_ini(write_ini(values), "b.ini")
    assert again.findings == ()
    assert compare(configuration, again.objects, prune=True) == ()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("rate = 1\n", ["a.ini:1: the file must begin"]),
        ("[contrakt x]\n", ["a.ini:1 [contrakt x]: unknown kind 'contrakt'"]),
        ("[model]\nversion=1\nmemory_mb=1\ntokens_per_second=1\n", ["bad name ''"]),
        (
            "[model m]\nversion = 1\nmemory = 5\ntokens_per_second = fast\n",
            [
                "a.ini:3 [model m] memory: unknown key 'memory'; did you mean",
                "a.ini:4 [model m] tokens_per_second: not a number: 'fast'",
                "a.ini:1 [model m]: lacks the key 'memory_mb'",
            ],
        ),
        (
            "[contract a]\npriority = gold\nrate = 1\nburst = -4\n"
            "[contract b]\npriority = standard\nrate = 0\nburst = 1\n"
            "[key k]\nworkspace = a\ndigest = xyz\n",
            [
                "a.ini:2 [contract a] priority: not one of premium, standard",
                "a.ini:7 [contract b] rate: must be a finite number above 0",
                "a.ini:11 [key k] digest: must be a SHA-256",
            ],
        ),
        (
            "[adapter a]\nmodel = gone\nmodel = lost\n[adapter a]\nmodel = m\nhm\n",
            [
                "a.ini:3 [adapter a] model: key 'model' occurs twice, first in line 2",
                "a.ini:4 [adapter a]: section occurs twice, first in line 1",
                "a.ini:6: cannot be read",
                "a.ini:1 [adapter a]: refers to model m, which is missing",
            ],
        ),
        ("[DEFAULT]\nrate = 3\n", ["unknown kind 'DEFAULT'"]),
        (
            "[service s]\naddresses = host:1\nidempotent = lookup\n"
            "[route r]\npath = r\nservice = s\nopen = perhaps\n",
            [
                "a.ini:2 [service s] addresses: not an ip:port: 'host:1'",
                "a.ini:3 [service s] idempotent: not of the form",
                "a.ini:7 [route r] open: not yes or no: 'perhaps'",
            ],
        ),
    ],
)
def test_findings_name_file_line_section_and_key(
    text: str, expected: list[str]
) -> None:
    """Guards against findings that are lost, misplaced or reported one at a time."""
    _, findings = check_document(Configuration(), read_ini(text, "a.ini"))
    lines = [str(finding) for finding in findings]
    for start in expected:
        assert any(start in line for line in lines), (start, lines)


def test_an_unreadable_section_gives_no_second_finding() -> None:
    """Guards against reporting an invalid contract as missing as well."""
    text = GOOD.replace("rate = 120.5", "rate = much")
    _, findings = check_document(Configuration(), read_ini(text, "a.ini"))
    assert [f.place for f in findings] == ["a.ini:4 [contract volunteers] rate"]


def test_compare_lists_only_what_differs_and_keeps_keys() -> None:
    """Guards against pruning that deletes granted keys."""
    configuration = applied(GOOD)
    configuration.apply(
        ChangeSet(
            "op2",
            "t",
            1,
            2,
            (
                compare(
                    configuration,
                    {(K.KEY, "granted"): Key("granted", "volunteers", "0" * 64)},
                )[0].change,
            ),
        )
    )
    text = GOOD.replace("rate = 120.5", "rate = 90").partition("[adapter")[0]
    objects = read_ini(text, "a.ini").objects
    (changed,) = compare(configuration, objects)
    assert changed.changed_fields() == {"rate": (120.5, 90.0)}
    pruned = compare(configuration, objects, prune=True)
    assert {(d.kind, d.name) for d in pruned} == {
        (K.CONTRACT, "volunteers"),
        (K.ADAPTER, "river"),
        (K.ENGINE, "e1"),
        (K.SERVICE, "desk"),
        (K.ROUTE, "desk"),
    }
    ended = compare(configuration, {}, prune=True)
    assert (K.KEY, "granted") in {(d.kind, d.name) for d in ended}


def test_examples_in_the_documentation_are_valid() -> None:
    """Guards against documented examples that the parser rejects."""
    page = Path(__file__).parents[2] / "docs" / "contracts.md"
    examples = re.findall(r"```ini\n(.*?)```", page.read_text(), re.DOTALL)
    assert len(examples) == 2
    for example in examples:
        applied(example)
