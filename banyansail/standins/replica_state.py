"""Fault switches, settings and record of a stand-in for an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReplicaFaults:
    """Fault switches, set by attribute name.

    Parameters
    ----------
    is_full : bool
        Whether requests are rejected without being run.
    fails : bool
        Whether requests are answered with 500.
    cuts_before_answer : bool
        Whether the connection is cut once the request has run.
    cuts_at_event : int
        Id of the event in which a stream is cut; 0 for none.
    sends_stray_answer : bool
        Whether an answer to another request is sent first.
    is_leaving : bool
        Whether all answers say that the upstream is draining.
    retry_after : str
        Pause that rejections ask for, as sent; empty for none.
    limit : str
        Requests per second that all answers name; empty for none.
    brittle : str
        Rejections in a second, as all answers name them, beyond which it ends; empty
        for an upstream that is not brittle. While it is, it lets no request wait.
    is_silent : bool
        Whether nothing more is sent until the switch is off again.
    crashes_on_part : str
        Part of a prompt that ends the upstream once it begins to answer; empty for
        none.
    cold_until : float
        Time of the reactor's clock until which it is cold, as all answers say.
    cold_limit : int
        Requests in a second beyond which it ends while it is cold.
    """

    is_full: bool = False
    fails: bool = False
    cuts_before_answer: bool = False
    cuts_at_event: int = 0
    sends_stray_answer: bool = False
    is_leaving: bool = False
    retry_after: str = ""
    limit: str = ""
    brittle: str = ""
    is_silent: bool = False
    crashes_on_part: str = ""
    cold_until: float = 0.0
    cold_limit: int = 0


@dataclass(slots=True)
class ReplicaState:
    """Settings of a stand-in and a record of its requests.

    Parameters
    ----------
    arrivals : list of str
        Ids of the attempts that reached it.
    arrived_at : list of float
        When each of them did so, in seconds of the reactor's clock.
    runs : list of str
        Ids of the attempts that it ran from their beginning.
    continued : list of str
        Ids of the attempts that went on here from the memory of another run.
    headers : list of dict
        Headers of these attempts.
    disconnect_count : int
        Requests whose connection was closed before the answer was complete.
    slots, running : int
        Requests that it may run at a time, and those that it runs now.
    accepted_at : list of float
        When requests arrived that were not meant for another upstream.
    rejected_at : list of float
        When it rejected requests for want of a slot, in seconds of the reactor's clock.
    """

    id: str
    events: int = 5
    pause_s: float = 0.01
    arrivals: list[str] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    continued: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    disconnect_count: int = 0
    slots: int = 4
    running: int = 0
    accepted_at: list[float] = field(default_factory=list)
    rejected_at: list[float] = field(default_factory=list)
