"""The documentation matches the code: events, metrics, settings and reason codes."""

import re
from pathlib import Path

from thorntray.internal.request.outcome import Reason
from thorntray.internal.telemetry.events import Event
from thorntray.internal.telemetry.metrics import METRICS
from thorntray.internal.telemetry.node_metrics import NODE_METRICS
from thorntray.internal.version.schema import FIELDS
from thorntray_node.config import _NODE_KEYS, _OPTIONAL_NODE_KEYS

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"


def page(name):
    return (DOCS / f"{name}.md").read_text("utf-8")


def test_the_documented_events_match_the_code():
    rows = set(re.findall(r"^\| (\d+) \| `(\w+)` \| (\w+) \|", page("EVENTS"), re.MULTILINE))
    code = {(str(e.value.number), e.name, e.value.level.name) for e in Event}
    assert rows == code
    assert len({e.value.number for e in Event}) == len(Event)


def test_the_documented_metrics_match_the_code():
    rows = dict(re.findall(r"^\| `([\w.-]+)` \| (\w+) \|", page("METRICS"), re.MULTILINE))
    all_metrics = {**METRICS, **NODE_METRICS}
    assert rows == {name: kind for name, (kind, _) in all_metrics.items()}


def test_every_setting_is_documented_with_its_default():
    rows = re.findall(
        r"^\| `([\w*/-]+)` \| (\w+) \| (.*?) \| (.*?) \| (.*?) \|", page("CONFIG"), re.M
    )
    found = {path: default for path, _, _, _, default in rows}
    code = {f"{f.section}/{f.key}": f.default for f in FIELDS}
    assert set(found) == set(code)
    for path, default in code.items():
        expected = "required" if default is None else (f"`{default}`" if default else "empty")
        assert found[path] == expected, path


def test_every_key_of_the_node_file_is_documented():
    text = page("CONFIG")
    for key in [*_NODE_KEYS, *_OPTIONAL_NODE_KEYS]:
        assert f"| `[node] {key}` |" in text, key


def test_every_reason_is_documented_for_callers():
    rows = set(re.findall(r"^\| `([\w-]+)` \| (?:\d{3}) \|", page("API"), re.MULTILINE))
    assert rows == {reason.value for reason in Reason}


def test_the_docs_contain_no_machine_paths():
    for file in [*DOCS.glob("*.md"), ROOT / "README.md"]:
        assert not re.search(r"/(work|tmp|root)/", file.read_text("utf-8")), file
