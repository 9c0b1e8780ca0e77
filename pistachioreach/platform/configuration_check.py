"""Check of an operator's configuration before it is sent to the platform."""

from __future__ import annotations

import enum
import json
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from pistachioreach.decoding import INVALID_DOCUMENT_ERRORS, MALFORMED_JSON_ERRORS
from pistachioreach.errors import ConfigurationError
from pistachioreach.platform.configuration import (
    decode_configuration,
    parse_limits,
    parse_route,
    parse_service,
    parse_version,
    parse_workspace,
)
from pistachioreach.routing.paths import card_cache_capacity
from pistachioreach.routing.routes import RetryPolicy

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from pistachioreach.routing.routes import (
        EngineModel,
        Limits,
        Route,
        Service,
        Workspace,
    )

__all__ = ["ConfigurationReport", "Finding", "FindingKind", "check_configuration"]

#: Kinds of routes; the decoder treats any other kind as the last one.
ROUTE_KINDS = ("streaming", "idempotent", "non_idempotent")
#: Maximum number of characters of a value in the description of a difference.
MAX_VALUE_CHARACTERS = 60


class FindingKind(enum.Enum):
    """What is wrong in a configuration."""

    #: The router rejects the configuration, or refuses the requests that use the entry.
    ERROR = "error"
    #: The entry has no effect.
    UNUSED = "unused"
    #: Two limits contradict each other.
    CONTRADICTION = "contradiction"
    #: The version is not higher than the one in force.
    VERSION = "version"


class Finding(NamedTuple):
    """A problem in a configuration.

    Attributes:
        kind: What is wrong.
        place: Place in the document, such as `routes[3].timeout-ms`; empty for the
            whole document.
        message: Description of the problem. It contains no keys of workspaces.
    """

    kind: FindingKind
    place: str
    message: str


class ConfigurationReport(NamedTuple):
    """Result of a check.

    Attributes:
        version: Version of the configuration, or None if the router rejects it.
        findings: Problems in the configuration.
        differences: Differences from the configuration in force, in words, or None if
            they are unknown.
    """

    version: int | None
    findings: tuple[Finding, ...]
    differences: tuple[str, ...] | None


class Item(NamedTuple):
    """An entry of a list in the document, and what the decoder makes of it.

    Attributes:
        place: Place of the entry in the document.
        document: The entry.
        value: Decoded entry.
    """

    place: str
    document: dict[str, Any]
    value: Any


class ReadPosition:
    """The place in a document that a decoder has read last.

    Args:
        place: Place of the part that is decoded.
    """

    def __init__(self, place: str) -> None:
        #: Place that has been read last.
        self.place = place

    def trace(self, value: Any, place: str) -> Any:
        """Return a value of the document that records what is read from it."""
        self.place = place
        if isinstance(value, dict):
            return TracedObject(value, self, place)
        if isinstance(value, list):
            return TracedList(value, self, place)
        return value


class TracedObject(dict[str, Any]):
    """JSON object that records which of its fields is read.

    Args:
        fields: Fields of the object.
        position: Record of the place that has been read last.
        place: Place of the object in the document.
    """

    def __init__(
        self, fields: dict[str, Any], position: ReadPosition, place: str
    ) -> None:
        super().__init__(fields)
        #: Record of the place that has been read last.
        self.position = position
        #: Place of the object in the document.
        self.place = place

    def __getitem__(self, name: str) -> Any:
        """Return a field and record its place, also if it is missing."""
        place = self.position.place = f"{self.place}.{name}".removeprefix(".")
        return self.position.trace(super().__getitem__(name), place)

    def get(self, name: str, default: Any = None) -> Any:
        """Return a field, or the default if it is missing."""
        return self[name] if name in self else default


class TracedList(list[Any]):
    """JSON array that records which of its elements is read.

    Args:
        elements: Elements of the array.
        position: Record of the place that has been read last.
        place: Place of the array in the document.
    """

    def __init__(self, elements: list[Any], position: ReadPosition, place: str) -> None:
        super().__init__(elements)
        #: Record of the place that has been read last.
        self.position = position
        #: Place of the array in the document.
        self.place = place

    def __iter__(self) -> Iterator[Any]:
        """Iterate over the elements and record their places."""
        for index, element in enumerate(super().__iter__()):
            yield self.position.trace(element, f"{self.place}[{index}]")

    def __getitem__(self, index: Any) -> Any:
        """Return an element and record its place."""
        place = f"{self.place}[{index}]"
        return self.position.trace(super().__getitem__(index), place)


def check_configuration(
    raw: bytes, in_force: bytes | None = None
) -> ConfigurationReport:
    """Check a configuration; nothing is sent or changed.

    Args:
        raw: Configuration as JSON, which may be malformed.
        in_force: Configuration in force, or None if it is unknown.

    Raises:
        ConfigurationError: The router rejects the configuration in force.
    """
    version_in_force = None
    if in_force is not None:
        version_in_force = decode_configuration(in_force).version
    try:
        document = msgspec.json.decode(raw)
    except MALFORMED_JSON_ERRORS as error:
        return rejected_report(f"not JSON: {error}")
    if not isinstance(document, dict):
        return rejected_report("not a JSON object")
    findings = check_document(document)
    try:
        version = decode_configuration(raw).version
    except ConfigurationError as error:
        if not any(finding.kind is FindingKind.ERROR for finding in findings):
            findings.append(Finding(FindingKind.ERROR, "", str(error)))
        return ConfigurationReport(None, tuple(findings), None)
    differences = None
    if in_force is not None and version_in_force is not None:
        if version <= version_in_force:
            message = f"{version} is not higher than {version_in_force}, in force"
            findings.append(Finding(FindingKind.VERSION, "version", message))
        try:
            differences = tuple(
                describe_changes(msgspec.json.decode(in_force), document)
            )
        except RecursionError as error:
            # Fields that the decoder ignores may be nested too deeply to be compared.
            message = f"cannot compare with the version in force: {error}"
            findings.append(Finding(FindingKind.ERROR, "", message))
    return ConfigurationReport(version, tuple(findings), differences)


def rejected_report(message: str) -> ConfigurationReport:
    """Return the report on a document of which no part can be decoded."""
    return ConfigurationReport(None, (Finding(FindingKind.ERROR, "", message),), None)


def check_document(document: dict[str, Any]) -> list[Finding]:
    """Return the problems in a configuration, without regard to the one in force."""
    findings: list[Finding] = []
    decode_part(document, "", parse_version, findings)
    routes = decode_list(document, "routes", parse_named_route, findings)
    services = decode_list(document, "services", parse_named_service, findings)
    workspaces = []
    if document.get("tenants") is not None:
        workspaces = decode_list(document, "tenants", parse_named_workspace, findings)
        if not document["tenants"]:
            message = "is empty, so that only public routes can be called"
            findings.append(Finding(FindingKind.UNUSED, "tenants", message))
    limits = decode_part(
        document, "", lambda fields: parse_limits(fields["limits"]), findings
    )
    for route in routes:
        findings += check_route(route)
    findings += check_hidden_routes(routes)
    findings += check_services(
        routes,
        services,
        is_complete(document, "routes", routes),
        is_complete(document, "services", services),
    )
    for service in services:
        findings += check_engine(service)
    findings += check_keys(workspaces)
    if limits is not None:
        findings += check_limits(limits)
    return findings


def decode_part(
    document: Any,
    place: str,
    parse: Callable[[dict[str, Any]], Any],
    findings: list[Finding],
) -> Any:
    """Decode a part of the document, or add a finding and return None.

    Args:
        document: The part.
        place: Place of the part; empty for the whole document.
        parse: Function that decodes the part.
        findings: List to which an error is added.
    """
    position = ReadPosition(place)
    try:
        return parse(position.trace(document, place))
    except INVALID_DOCUMENT_ERRORS as error:
        message = describe_error(error)
        findings.append(Finding(FindingKind.ERROR, position.place, message))
        return None


def decode_list(
    document: dict[str, Any],
    name: str,
    parse: Callable[[dict[str, Any]], Any],
    findings: list[Finding],
) -> list[Item]:
    """Decode the entries of a list one by one.

    Args:
        document: The whole document.
        name: Name of the list.
        parse: Function that decodes one entry.
        findings: List to which errors are added.

    Returns:
        The entries that can be decoded.
    """
    entries = document.get(name)
    if not isinstance(entries, list):
        message = "not a list" if name in document else "missing field"
        findings.append(Finding(FindingKind.ERROR, name, message))
        return []
    items = []
    for index, entry in enumerate(entries):
        place = f"{name}[{index}]"
        value = decode_part(entry, place, parse, findings)
        if value is not None:
            items.append(Item(place, entry, value))
    return items


def is_complete(document: dict[str, Any], name: str, items: Sequence[Item]) -> bool:
    """Return whether all entries of a list have been decoded."""
    entries = document.get(name)
    return isinstance(entries, list) and len(entries) == len(items)


def describe_error(error: Exception) -> str:
    """Return the message for an exception of the decoder."""
    if isinstance(error, KeyError):
        return "missing field"
    if isinstance(error, ZeroDivisionError):
        return "must not be 0"
    if str(error).startswith("not "):
        return str(error)
    return f"value of the wrong type ({error})"


def parse_named_route(document: dict[str, Any]) -> Route:
    """Decode a route, and check the names in it, whose types the decoder ignores."""
    check_texts(document, "name", "host", "prefix")
    for part in document.get("split") or [document]:
        check_texts(part, "service")
    return parse_route(document)


def parse_named_service(document: dict[str, Any]) -> Service:
    """Decode a service and check the type of its name."""
    check_texts(document, "name")
    return parse_service(document)


def parse_named_workspace(document: dict[str, Any]) -> dict[str, Workspace]:
    """Decode a workspace, and check the types of its name and keys."""
    check_texts(document, "name")
    keys = document.get("api-keys")
    if not isinstance(keys, list | None):
        # The decoder would take each character of a string for a key.
        raise TypeError("not a list")
    for key in keys or ():
        if not isinstance(key, str):
            raise TypeError("not a string")
    return parse_workspace(document)


def check_texts(document: dict[str, Any], *names: str) -> None:
    """Check that fields are strings.

    Raises:
        KeyError: A field is missing.
        TypeError: A field is not a string.
    """
    for name in names:
        if not isinstance(document[name], str):
            raise TypeError("not a string")


def check_route(item: Item) -> Iterator[Finding]:
    """Yield the limits of a route that contradict each other, and unused parts."""
    route: Route = item.value
    if item.document["kind"] not in ROUTE_KINDS:
        message = f"unknown kind, which counts as '{ROUTE_KINDS[-1]}'"
        yield Finding(FindingKind.ERROR, f"{item.place}.kind", message)
    if route.prefix and not route.prefix.startswith("/"):
        message = "matches no path, as it does not begin with '/'"
        yield Finding(FindingKind.UNUSED, f"{item.place}.prefix", message)
    parts = route.service_weights
    if len(parts) > 1 and not any(weight for _, weight in parts):
        message = "no part has a weight above 0"
        yield Finding(FindingKind.ERROR, f"{item.place}.split", message)
    elif len(parts) > 1:
        for index, (service, weight) in enumerate(parts):
            if weight == 0:
                place = f"{item.place}.split[{index}].weight"
                message = f"service {service!r} gets no requests at weight 0"
                yield Finding(FindingKind.UNUSED, place, message)
    if route.target > route.timeout:
        message = f"target of {route.target:g} s over timeout of {route.timeout:g} s"
        yield Finding(FindingKind.CONTRADICTION, f"{item.place}.slo-ms", message)
    if route.event_gap_target is not None and route.event_gap_target > route.timeout:
        message = (
            f"pause target of {route.event_gap_target:g} s over timeout of "
            f"{route.timeout:g} s"
        )
        place = f"{item.place}.gap-target-ms"
        yield Finding(FindingKind.CONTRADICTION, place, message)
    if route.retry_policy is RetryPolicy.ONCE and route.max_attempts > 1:
        message = (
            f"{route.max_attempts} attempts, but a request of this route may run "
            "only once"
        )
        place = f"{item.place}.max-attempts"
        yield Finding(FindingKind.CONTRADICTION, place, message)


def check_hidden_routes(routes: Sequence[Item]) -> Iterator[Finding]:
    """Yield the routes that have the host and prefix of an earlier one."""
    first: dict[tuple[str, str], Item] = {}
    for item in routes:
        route: Route = item.value
        earlier = first.setdefault((route.host, route.prefix), item)
        if earlier is not item:
            message = (
                f"hidden by {earlier.place} ({earlier.value.name!r}) with the same "
                "host and prefix"
            )
            yield Finding(FindingKind.UNUSED, item.place, message)


def check_services(
    routes: Sequence[Item],
    services: Sequence[Item],
    all_routes: bool,
    all_services: bool,
) -> Iterator[Finding]:
    """Yield the services that are missing, unused or defined more than once.

    Args:
        routes: Routes that can be decoded.
        services: Services that can be decoded.
        all_routes: Whether these are all routes; another may name any service.
        all_services: Whether these are all services.
    """
    last = {item.value.name: item for item in services}
    for item in services:
        if last[item.value.name] is not item:
            message = f"replaced by {last[item.value.name].place} of the same name"
            yield Finding(FindingKind.UNUSED, item.place, message)
    named = set()
    for item in routes:
        for index, (name, _) in enumerate(item.value.service_weights):
            named.add(name)
            if name not in last and all_services:
                split = f"split[{index}]." if item.document.get("split") else ""
                message = f"no service has the name {name!r}"
                place = f"{item.place}.{split}service"
                yield Finding(FindingKind.ERROR, place, message)
    if all_routes:
        for name, item in last.items():
            if name not in named:
                message = f"no route names service {name!r}"
                yield Finding(FindingKind.UNUSED, item.place, message)


def check_engine(item: Item) -> Iterator[Finding]:
    """Yield the kinds of accelerators that are too small for a service's model."""
    model: EngineModel | None = item.value.engine
    if model is None:
        return
    for index, kind in enumerate(item.document["engine"]["kinds"]):
        card = model.cards[kind["name"]]
        place = f"{item.place}.engine.kinds[{index}].size-mb"
        if card.memory_mb < model.layer_mb:
            message = (
                f"{card.memory_mb:g} MB cannot hold one layer of {model.layer_mb:g} MB"
            )
            yield Finding(FindingKind.CONTRADICTION, place, message)
        elif card_cache_capacity(card, 1, model) < model.mean_prompt_tokens:
            message = (
                f"{card.memory_mb:g} MB cannot hold a mean prompt of "
                f"{model.mean_prompt_tokens:g} tokens beside one layer"
            )
            yield Finding(FindingKind.CONTRADICTION, place, message)


def check_keys(workspaces: Sequence[Item]) -> Iterator[Finding]:
    """Yield the keys that a later workspace also holds, and workspaces without keys."""
    holder = {key: item for item in workspaces for key in item.value}
    for item in workspaces:
        if not item.value:
            message = "has no keys, so no caller can use it"
            yield Finding(FindingKind.UNUSED, item.place, message)
            continue
        for index, key in enumerate(item.document["api-keys"]):
            if holder[key] is not item:
                last = holder[key]
                place = f"{item.place}.api-keys[{index}]"
                message = (
                    f"key of {item.document['name']!r} that {last.place} "
                    f"({last.document['name']!r}) also holds; only the latter counts"
                )
                yield Finding(FindingKind.UNUSED, place, message)


def check_limits(limits: Limits) -> Iterator[Finding]:
    """Yield the limits on callers that contradict each other."""
    if limits.header_seconds > limits.idle_seconds:
        message = (
            f"header timeout of {limits.header_seconds:g} s over idle timeout of "
            f"{limits.idle_seconds:g} s"
        )
        yield Finding(FindingKind.CONTRADICTION, "limits.header-timeout-ms", message)


def describe_changes(old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    """Yield the differences between two configurations that the router accepts.

    Args:
        old: Configuration in force.
        new: Configuration that is checked.
    """
    if old["version"] != new["version"]:
        yield f"version {old['version']} -> {new['version']}"
    sections: list[tuple[str, Callable[[dict[str, Any]], str]]] = [
        ("routes", lambda item: f"route '{item['host']}{item['prefix']}'"),
        ("services", lambda item: f"service '{item['name']}'"),
        ("tenants", lambda item: f"workspace '{item.get('name')}'"),
    ]
    for section, label_of in sections:
        old_items = items_by_label(old.get(section) or (), label_of)
        new_items = items_by_label(new.get(section) or (), label_of)
        for label, item in new_items.items():
            if label not in old_items:
                yield f"{label} added"
            elif changes := list(field_changes(old_items[label], item)):
                yield f"{label} changed: {', '.join(changes)}"
        for label in old_items:
            if label not in new_items:
                yield f"{label} removed"
    if changes := list(field_changes(old["limits"], new["limits"])):
        yield f"limits changed: {', '.join(changes)}"


def items_by_label(
    items: Sequence[dict[str, Any]], label_of: Callable[[dict[str, Any]], str]
) -> dict[str, dict[str, Any]]:
    """Return the entries of a list by label; repeated labels are numbered."""
    labelled: dict[str, dict[str, Any]] = {}
    counts: Counter[str] = Counter()
    for item in items:
        label = label_of(item)
        counts[label] += 1
        number = counts[label]
        labelled[label if number == 1 else f"{label} ({number})"] = item
    return labelled


def field_changes(old: Any, new: Any, place: str = "") -> Iterator[str]:
    """Yield the fields that differ between two values of a document.

    Args:
        old: Value in force.
        new: Value that is checked.
        place: Place of the value in its entry.
    """
    if place == "api-keys":
        yield from key_changes(old, new)
    elif isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            field = f"{place}.{name}".removeprefix(".")
            if name not in new:
                yield f"{field} removed"
            elif name not in old:
                yield f"{field} added"
            else:
                yield from field_changes(old[name], new[name], field)
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for index, pair in enumerate(zip(old, new, strict=True)):
            yield from field_changes(*pair, f"{place}[{index}]")
    elif old != new:
        yield f"{place} {format_value(old)} -> {format_value(new)}"


def key_changes(old: Any, new: Any) -> Iterator[str]:
    """Yield how many keys of a workspace differ; keys are secret and not shown."""
    old_keys, new_keys = (
        set(map(repr, value if isinstance(value, list) else [value]))
        for value in (old, new)
    )
    if added := len(new_keys - old_keys):
        yield f"keys added: {added}"
    if removed := len(old_keys - new_keys):
        yield f"keys removed: {removed}"


def format_value(value: Any) -> str:
    """Return a value of a document as JSON, shortened if it is long."""
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:MAX_VALUE_CHARACTERS]}..."
