"""The platform's store, as a process of its own that can come back from a copy.

Usage:
  soak-store --listen=ADDRESS --record=FILE

Options:
  --listen=ADDRESS  IP number and port.
  --record=FILE     Where the calls of duties are recorded.
"""

from __future__ import annotations

from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import docopt
from twisted.internet import reactor, task

from banyansail.clock import Clock, SystemClock
from banyansail.config.fields import parse_address
from banyansail.standins.server import start_standin
from banyansail.standins.store import StoreCopy, StoreStandin
from banyansail.standins.web import answer_json, read_json
from benchmarks.soak.records import DutyCall, RecordWriter

if TYPE_CHECKING:
    from twisted.web.server import Request

DRILL_PATH = "/soak/drill"
FAULTS_PATH = "/soak/faults"
COPY_INTERVAL_S = 0.25
KEPT_COPIES = 40


class DrilledStore(StoreStandin):
    """Store that keeps copies of itself and returns to one when it is told to.

    Parameters
    ----------
    record : RecordWriter
        Where the calls of duties are recorded.
    clock : Clock
        Source of time.
    """

    def __init__(self, record: RecordWriter, clock: Clock) -> None:
        super().__init__()
        self._record = record
        self._clock = clock
        self._copies: deque[tuple[float, StoreCopy]] = deque(maxlen=KEPT_COPIES)

    def keep_copy(self) -> None:
        """Keep a copy of the present content."""
        if not self.faults.is_down:
            self._copies.append((self._now(), self.state.copy()))

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        path = request.path.decode()
        if path == DRILL_PATH:
            body = read_json(request)
            await self._drill(body["away_s"], body["copy_age_s"])
            answer_json(request, {"era": self.state.era})
            return
        if path == FAULTS_PATH:
            self.set_faults(request, self.faults, None)
            return
        if path in ("/usage", "/scale") and not self.faults.is_down:
            self._record_call(path, request)
        await super().handle(request)

    async def _drill(self, away_s: float, copy_age_s: float) -> None:
        """Be away for a time, then come back from a copy of before."""
        latest = self._now() - copy_age_s
        older = [copy for taken_at, copy in self._copies if taken_at <= latest]
        copy = older[-1] if older else self._copies[0][1]
        self.faults.is_down = True
        await task.deferLater(reactor, away_s)
        self.state.restore(copy)
        self._copies.clear()
        self.faults.is_down = False
        self.keep_copy()

    def _record_call(self, path: str, request: Request) -> None:
        body = read_json(request)
        request.content.seek(0)
        self._record.write(
            DutyCall(
                self._now(),
                path,
                request.getHeader("x-duty-holder") or "",
                int(request.getHeader("x-fence-token") or 0),
                body.get("windowId"),
                body.get("counts"),
            )
        )

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def main() -> None:
    """Run the store until the process is terminated."""
    arguments = docopt(__doc__)
    store = DrilledStore(RecordWriter(Path(arguments["--record"])), SystemClock())
    task.LoopingCall(store.keep_copy).start(COPY_INTERVAL_S)
    start_standin(store, parse_address(arguments["--listen"]))
    reactor.run()


if __name__ == "__main__":
    main()
