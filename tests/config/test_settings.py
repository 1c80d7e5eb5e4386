"""Settings: all findings with their location."""

from __future__ import annotations

import pytest

from banyansail.config.fields import Address
from banyansail.config.settings import load_settings, parse_settings
from banyansail.exceptions import ConfigError

VALID = """\
name: r0
zone: glasgow
region: scotland
listen: 127.0.0.1:8080
peer: 127.0.0.1:7000
platform: 127.0.0.1:9000
shared_key: a secret of the fleet
peers: [127.0.0.1:7001, 127.0.0.1:7002]
stop_notice: 20s
"""


def findings(text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse_settings(text, "f.yaml")
    return [str(item) for item in caught.value.findings]


def test_valid_settings():
    settings = parse_settings(VALID, "f.yaml")
    assert settings.listen == Address("127.0.0.1", 8080)
    assert len(settings.peers) == 2
    assert settings.stop_notice.total_seconds() == 20


def test_all_findings_at_once():
    text = VALID.replace("127.0.0.1:8080", "localhost:8080")
    text = text.replace("name: r0", "nam: r0").replace("a secret of the fleet", "short")
    found = findings(text + "name: r0\nname: r1\ncertificate: x\n")
    assert len(found) == 5
    assert any(item.startswith("f.yaml:1:1") and "'nam'" in item for item in found)
    assert any(item.startswith("f.yaml:4:9") and "IP number" in item for item in found)
    assert any("given twice" in item for item in found)
    assert any("given together" in item for item in found)


@pytest.mark.parametrize("line", ["name: r0", "shared_key: a secret of the fleet"])
def test_missing_setting(line):
    assert "is missing" in findings(VALID.replace(line + "\n", ""))[0]


@pytest.mark.parametrize(
    "text", ["", "- a", "a: [", "name: {a: b}", "\t", "name: r0: x"]
)
def test_malformed_files(text):
    assert findings(text)


def test_unreadable_file(tmp_path):
    with pytest.raises(ConfigError, match="cannot be read"):
        load_settings(str(tmp_path / "missing.yaml"))
