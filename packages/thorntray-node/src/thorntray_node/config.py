"""The node's own settings file, parsed into one validated, immutable object.

All faults of a file are reported together, each with section, key, value and remedy. A node
whose file has faults does not start.
"""

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Self
from urllib.parse import urlsplit

from nacl.signing import VerifyKey

from thorntray import Fault, InvalidSettings
from thorntray.internal.membership.gossip import Address
from thorntray.internal.version.ini import parse_ini

# Keys of the section [node], each with the text that follows "write" in the remedy of a fault.
_NODE_KEYS = {
    "name": "a unique name of the node, e.g. tariff-1",
    "address": "the IP number under which others reach this node, e.g. 10.0.0.7",
    "http_port": "a port from 1 to 65535 for callers, the instance and operators",
    "peer_port": "a port from 1 to 65535 for messages of other nodes",
    "document_port": "a port from 1 to 65535 from which other nodes fetch settings",
    "gossip_port": "a port from 1 to 65535 for membership datagrams",
    "domain": "the failure domain, e.g. kalimati",
    "region": "the region, e.g. bagmati",
    "service": "the service of the upstream instance, e.g. tariff",
    "upstream": "the base URL of the upstream instance, e.g. http://127.0.0.1:9001",
}
_OPTIONAL_NODE_KEYS = {"drain_limit": "seconds from 1 to 600"}
_SECTIONS = {
    "node": set(_NODE_KEYS) | set(_OPTIONAL_NODE_KEYS),
    "platform": {"endpoints"},
    "seeds": {"addresses"},
    "metrics": {"statsd"},
    "log": {"form"},
}
_TEAM_SECTION_KEYS = {"public_keys"}
DEFAULT_DRAIN_LIMIT = 65.0  # seconds; longer than the longest request deadline


@dataclass(frozen=True)
class NodeConfig:
    """Settings of one node."""

    name: str
    address: str
    http_port: int
    peer_port: int
    document_port: int
    gossip_port: int
    domain: str
    region: str
    service: str
    upstream: str
    platform: tuple[str, ...]
    seeds: tuple[Address, ...] = ()
    statsd: Address | None = None
    log_json: bool = False
    drain_limit: float = DEFAULT_DRAIN_LIMIT  # seconds
    team_keys: Mapping[str, tuple[VerifyKey, ...]] = field(default_factory=dict)

    @classmethod
    def from_file(cls, file: Path) -> Self:
        """Read a settings file; raises `InvalidSettings` with all faults."""
        try:
            text = file.read_text("utf-8-sig")
        except (OSError, UnicodeDecodeError) as exc:
            fault = Fault("", "", "", f"cannot be read ({exc}); give the path of an INI file")
            raise InvalidSettings(str(file), [fault]) from exc
        return cls.from_text(text, str(file))

    @classmethod
    def from_text(cls, text: str, source: str) -> Self:
        """Read settings from text; raises `InvalidSettings` with all faults."""
        parser = parse_ini(text, source)
        reader = _Reader({s: dict(parser.items(s)) for s in parser.sections()})
        reader.check_known_keys()
        cfg = cls(
            name=reader.identifier("node", "name"),
            address=reader.ip("node", "address"),
            http_port=reader.port("http_port"),
            peer_port=reader.port("peer_port"),
            document_port=reader.port("document_port"),
            gossip_port=reader.port("gossip_port"),
            domain=reader.identifier("node", "domain"),
            region=reader.identifier("node", "region"),
            service=reader.identifier("node", "service"),
            upstream=reader.url("node", "upstream", reader.get("node", "upstream")),
            platform=reader.urls("platform", "endpoints"),
            seeds=reader.addresses("seeds", "addresses"),
            statsd=next(iter(reader.addresses("metrics", "statsd")), None),
            log_json=reader.choice("log", "form", ("text", "json")) == "json",
            drain_limit=reader.seconds("node", "drain_limit", DEFAULT_DRAIN_LIMIT),
            team_keys=reader.team_keys(),
        )
        reader.check_ports_differ()
        if reader.faults:
            raise InvalidSettings(source, reader.faults)
        return cfg


class _Reader:
    """Parses values, and collects the faults instead of raising at the first one."""

    def __init__(self, sections: dict[str, dict[str, str]]) -> None:
        self._sections = sections
        self.faults: list[Fault] = []

    def get(self, section: str, key: str) -> str:
        return self._sections.get(section, {}).get(key, "")

    def fault(self, section: str, key: str, value: str, remedy: str) -> None:
        self.faults.append(Fault(section, key, value, remedy))

    def check_known_keys(self) -> None:
        for section, values in self._sections.items():
            known = _TEAM_SECTION_KEYS if section.startswith("team ") else _SECTIONS.get(section)
            if known is None:
                names = ", ".join([*_SECTIONS, "team NAME"])
                self.fault(section, "", "", f"unknown section; known are {names}")
                continue
            for key in values.keys() - known:
                remedy = f"unknown key; known are {', '.join(sorted(known))}"
                self.fault(section, key, values[key], remedy)

    def identifier(self, section: str, key: str) -> str:
        value = self.get(section, key)
        if not value or not all(c.isalnum() or c in "-._" for c in value) or len(value) > 64:
            self.fault(section, key, value, f"write {_NODE_KEYS[key]}")
        return value

    def ip(self, section: str, key: str) -> str:
        value = self.get(section, key)
        if not _is_ip(value):
            self.fault(section, key, value, f"write {_NODE_KEYS[key]}")
        return value

    def port(self, key: str) -> int:
        value = self.get("node", key)
        if not _is_port(value):
            self.fault("node", key, value, f"write {_NODE_KEYS[key]}")
            return 0
        return int(value)

    def check_ports_differ(self) -> None:
        keys = ("http_port", "peer_port", "document_port")
        for i, key in enumerate(keys):
            value = self.get("node", key)
            if value and value in [self.get("node", earlier) for earlier in keys[:i]]:
                self.fault("node", key, value, f"write another port than {', '.join(keys[:i])}")

    def url(self, section: str, key: str, value: str) -> str:
        try:
            parts = urlsplit(value)
            valid = parts.scheme == "http" and _is_ip(parts.hostname or "") and parts.port
        except ValueError:
            valid = False
        if not valid:
            self.fault(section, key, value, "write http://IP-NUMBER:PORT")
        return value.rstrip("/")

    def urls(self, section: str, key: str) -> tuple[str, ...]:
        values = _split(self.get(section, key))
        if not values:
            self.fault(section, key, "", "write the platform's URLs, with commas between them")
        return tuple(self.url(section, key, value) for value in values)

    def addresses(self, section: str, key: str) -> tuple[Address, ...]:
        parsed = []
        for value in _split(self.get(section, key)):
            host, _, port = value.rpartition(":")
            if host.startswith("[") and host.endswith("]") and ":" in host:
                host = host[1:-1]
            if _is_ip(host) and _is_port(port):
                parsed.append(Address(host, int(port)))
            else:
                self.fault(section, key, value, "write IP-NUMBER:PORT, with commas between them")
        return tuple(parsed)

    def choice(self, section: str, key: str, choices: tuple[str, ...]) -> str:
        value = self.get(section, key) or choices[0]
        if value not in choices:
            self.fault(section, key, value, f"write one of {', '.join(choices)}")
        return value

    def seconds(self, section: str, key: str, default: float) -> float:
        value = self.get(section, key)
        if not value:
            return default
        if not (value.isascii() and value.isdigit() and 1 <= float(value) <= 600):
            self.fault(section, key, value, f"write {_OPTIONAL_NODE_KEYS[key]}")
            return default
        return float(value)

    def team_keys(self) -> dict[str, tuple[VerifyKey, ...]]:
        teams = [s for s in self._sections if s.startswith("team ")]
        if not teams:
            self.fault("team NAME", "public_keys", "", "add a section for each team")
        return {section.removeprefix("team ").strip(): self._keys(section) for section in teams}

    def _keys(self, section: str) -> tuple[VerifyKey, ...]:
        keys = []
        for value in _split(self.get(section, "public_keys")):
            try:
                keys.append(VerifyKey(bytes.fromhex(value)))
            except ValueError:
                remedy = "write 64 hexadecimal digits, as `thorntrayctl keygen` prints them"
                self.fault(section, "public_keys", value, remedy)
        if not keys and not self.get(section, "public_keys"):
            self.fault(section, "public_keys", "", "write at least one public key of the team")
        return tuple(keys)


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 1 <= int(text[:6]) <= 65535
