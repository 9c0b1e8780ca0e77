"""API keys of the workspace, which are rotated during a run."""

from __future__ import annotations

import trio

from pistachioreach.platform.standins.deployment import KEY, configuration
from soak.checks import APPLY_SECONDS, MARGIN_SECONDS

__all__ = ["IDLE_SECONDS", "WorkspaceKeys"]

#: Seconds after which routers close an idle connection of a caller. It equals the
#: timeout of a header section, which may not be longer; a run ends many such timeouts.
IDLE_SECONDS = 3.0


class WorkspaceKeys:
    """API keys of the workspace, which the operator rotates during a run."""

    def __init__(self) -> None:
        #: Version of the current configuration.
        self.version = 1
        #: All keys so far, each with the time at which a configuration added it.
        self.history: list[tuple[str, float]] = [(KEY, trio.current_time())]
        #: Keys of other workspaces by name.
        self.others: dict[str, list[str]] = {}
        #: Dropped keys of other workspaces, each with the time of its removal.
        self.dropped_others: list[tuple[str, float]] = []
        #: Time of the last change.
        self.changed_at = trio.current_time()

    def rotate(self) -> dict:
        """Add a key, and return a configuration with only this and the previous key."""
        self.version += 1
        self.changed_at = trio.current_time()
        self.history.append((f"key-{self.version}", self.changed_at))
        return self.configuration()

    def change_others(self) -> dict:
        """Return a configuration with other workspaces beside the callers' one.

        By turns, one is added with a key, loses its key and is dropped.
        """
        self.version += 1
        self.changed_at = trio.current_time()
        dropped = [key for keys in self.others.values() for key in keys]
        self.dropped_others += [(key, self.changed_at) for key in dropped]
        if not self.others:
            self.others = {"other": [f"other-key-{self.version}"]}
        elif dropped:
            self.others = {"other": []}
        else:
            self.others = {}
        return self.configuration()

    def configuration(self) -> dict:
        """Return the configuration with the last two keys and a short idle timeout.

        Other workspaces follow that of the callers.
        """
        document = configuration(
            self.version, tuple(key for key, _ in self.history[-2:])
        )
        document["limits"]["idle-timeout-ms"] = round(1000 * IDLE_SECONDS)
        document["tenants"] += [
            {"name": name, "api-keys": keys} for name, keys in self.others.items()
        ]
        return document

    def settled(self) -> bool:
        """Return whether all routers must have applied the last rotation."""
        return trio.current_time() - self.changed_at > APPLY_SECONDS + MARGIN_SECONDS

    def usable(self) -> str:
        """Return a key that each router with current knowledge must accept."""
        key, since = self.history[-1]
        established = (
            len(self.history) == 1 or trio.current_time() - since > 3 * APPLY_SECONDS
        )
        return key if established else self.history[-2][0]

    def dropped_since(self, key: str, sent_at: float) -> bool:
        """Return whether a configuration dropped a key after a request was sent."""
        drops = zip(self.history, self.history[2:], strict=False)
        return any(old == key and at >= sent_at for (old, _), (_, at) in drops)

    def last_dropped(self) -> list[tuple[str, float]]:
        """Return the keys that were dropped last, and the time of each removal."""
        dropped = self.dropped_others[-1:]
        if len(self.history) >= 3:
            dropped.append((self.history[-3][0], self.history[-1][1]))
        return dropped
