"""Define what instances that run batch ask and offer each other of their jobs."""

from typing import NamedTuple


class RunsAsk(NamedTuple):
    """Ask a keeper which of some jobs, that are its own by the asker's view, it runs.

    taken are those of them that the asker runs in its place.
    """

    ask_id: int
    job_ids: tuple[str, ...]
    taken: tuple[str, ...] = ()


class RunsTell(NamedTuple):
    """Answer RunsAsk; of the jobs that are over every result is stored, or they were ended."""

    ask_id: int
    runs: tuple[str, ...]
    over: tuple[str, ...]


class RunsOffer(NamedTuple):
    """Offer jobs of which the sender can start no item; whoever can asks for one by RunsAsk."""

    job_ids: tuple[str, ...]
