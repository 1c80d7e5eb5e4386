"""Requests for a slot at an upstream, their entries in a queue, and the slots."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.decisions.queue.work_shares import ShareUse
    from banyansail.gateway.decisions.upstreams.choice import Chosen
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import Prompt, Rejection


@dataclass(slots=True, eq=False)
class Ticket:
    """Request for a slot at an upstream.

    Parameters
    ----------
    priority : int
        0 is served first.
    arrived_at : timedelta
        Monotonic time of the request's arrival.
    deadline : timedelta
        Monotonic time by which the final answer is due.
    excluded : set of str
        Ids of upstreams that already failed the request.
    version_draw : float
        Random number from 0 to 1; below a version's share, that version is chosen.
    is_retry : bool
        Whether an attempt failed before; a retry is always admitted to the queue.
    workspace : str
        Workspace of the caller; empty for a public route.
    weight : float
        Weight of the workspace in the fair order.
    caller : str
        API key of the caller.
    work : float
        Expected work; set when the request starts to wait in the fair order.
    fingerprint : int
        Hash that is equal for identical requests of one caller; 0 if unknown.
    is_repeat : bool
        Whether the caller repeats it before its Retry-After has passed.
    """

    service: str
    prompt: Prompt | None
    priority: int
    arrived_at: timedelta
    deadline: timedelta
    excluded: set[str] = field(default_factory=set)
    version_draw: float = 0.0
    is_retry: bool = False
    workspace: str = ""
    weight: float = 1.0
    caller: str = ""
    work: float = 1.0
    fingerprint: int = 0
    is_repeat: bool = False


@dataclass(slots=True, eq=False)
class Slot:
    """Slot at an upstream that is assigned to a request.

    Parameters
    ----------
    share : ShareUse or None
        Use of the workspace, if the request waited in the fair order.
    """

    number: int
    chosen: Chosen
    assigned_at: timedelta
    share: ShareUse | None = None

    @property
    def load(self) -> UpstreamLoad:
        """Load of the upstream."""
        return self.chosen.load


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A waiting request and the receiver of its slot or rejection.

    Parameters
    ----------
    check_at : timedelta
        Monotonic time before which it has not waited too long, in the fair order.
    """

    ticket: Ticket
    on_result: Callable[[Slot | Rejection], None]
    is_resolved: bool = False
    check_at: timedelta = timedelta(0)
