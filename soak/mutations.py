"""Planted faults: the soak must find each of them within a few seeds."""

from __future__ import annotations

import shutil
import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["MUTATIONS", "Mutation", "mutated"]

#: Folder that holds the package.
SOURCE = Path(__file__).parent.parent


class Mutation(NamedTuple):
    """A change of one place in the package.

    Attributes:
        file: File in the package.
        old: Text that stands there once.
        new: Text that takes its place.
        seeds: Number of seeds, from 1, within which the soak finds it.
    """

    file: str
    old: str
    new: str
    seeds: int


#: Planted faults by name.
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
}


@contextmanager
def mutated(name: str) -> Iterator[Path]:
    """Give a folder with a copy of the package in which a fault is planted.

    Raises:
        ValueError: The text to be changed does not stand there once.
    """
    mutation = MUTATIONS[name]
    with tempfile.TemporaryDirectory() as folder:
        package = Path(folder) / "pistachioreach"
        shutil.copytree(SOURCE / "pistachioreach", package)
        file = package / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(f"{mutation.file} does not hold '{mutation.old}' once")
        file.write_text(text.replace(mutation.old, mutation.new))
        yield Path(folder)
