"""Mutations of the package, each of which the soak test must detect in a few runs."""

from __future__ import annotations

import shutil
import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["MUTATIONS", "Mutation", "mutated"]

#: Folder that contains the package.
SOURCE_FOLDER = Path(__file__).parent.parent


class Mutation(NamedTuple):
    """Deliberate error in the package, made by the replacement of one text.

    Attributes:
        file: Path of the changed file within the package.
        old: Text to replace; occurs exactly once in the file.
        new: Text that replaces it.
        seed_count: Number of seeds, from 1 on, within which the soak test detects
            the error.
    """

    file: str
    old: str
    new: str
    seed_count: int


#: Mutations by name.
MUTATIONS = {
    "second try after a reset": Mutation(
        "dispatch/plain.py",
        "                possible_runs += 1",
        "                possible_runs += 0",
        10,
    ),
    "stale configurations kept": Mutation(
        "knowledge/platform.py",
        "known is not None and routes.version <= known.version",
        "known is not None",
        10,
    ),
    "leaving endpoints kept": Mutation(
        "platform/directory.py",
        'leaving=document["state"] == "draining"',
        "leaving=False",
        10,
    ),
    "statements of leaving ignored": Mutation(
        "endpoints/health.py",
        "if response.leaving and not endpoint.states_leaving:",
        "if False and not endpoint.states_leaving:",
        10,
    ),
    "removals ignored": Mutation(
        "endpoints/directory.py",
        "endpoint = self.endpoints.pop(id, None)",
        "endpoint = None",
        10,
    ),
    "leaving engines kept in later stages": Mutation(
        "endpoints/directory.py",
        "return self.registration.leaving or self.states_leaving",
        "layers = self.registration.layers\n"
        "        return not (layers and layers.first) and (\n"
        "            self.registration.leaving or self.states_leaving\n"
        "        )",
        10,
    ),
    "false refusals": Mutation(
        "dispatch/plain.py",
        "        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, failed.detail)",
        "        return refused(NO_ENDPOINT, failed.detail, 0.1)",
        10,
    ),
    "shutdown that waits for nothing": Mutation(
        "callers/drain.py",
        "return now >= self.latest_exit or (now >= self.earliest_exit and idle)",
        "return self.begun and (idle or True)",
        10,
    ),
    "begun answers that do not wait": Mutation(
        "dispatch/streams.py",
        "waits = reply.started and is_temporary(result)",
        "waits = False",
        10,
    ),
}


@contextmanager
def mutated(name: str) -> Iterator[Path]:
    """Provide a temporary folder with a copy of the package that has a mutation.

    Args:
        name: Name of the mutation.

    Raises:
        ValueError: The text to replace does not occur exactly once in the file.
    """
    mutation = MUTATIONS[name]
    with tempfile.TemporaryDirectory() as folder:
        package = Path(folder) / "pistachioreach"
        shutil.copytree(SOURCE_FOLDER / "pistachioreach", package)
        file = package / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.file} does not contain '{mutation.old}' exactly once"
            )
        file.write_text(text.replace(mutation.old, mutation.new))
        yield Path(folder)
