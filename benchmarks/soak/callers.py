"""Callers of all routers, as a process of their own.

Usage:
  soak-callers --routers=ADDRESSES --seed=N --callers=N --seconds=S --record=FILE

Options:
  --routers=ADDRESSES  Addresses of the routers, with commas between them.
  --seed=N             Seed of the requests.
  --callers=N          Requests at a time.
  --seconds=S          How long new requests are sent.
  --record=FILE        Where the responses are recorded.
"""

from __future__ import annotations

import threading
import time
from pathlib import Path
from random import Random

from docopt import docopt

from banyansail.clock import Clock, SystemClock
from banyansail.config.fields import Address, parse_address
from benchmarks.soak.http_caller import Behaviour, CallerConnection, Exchange
from benchmarks.soak.records import Kind, RecordWriter, Response, ResponseEnd

WEIGHT_BY_KIND = {Kind.STOCK: 2, Kind.ORDERS: 2, Kind.DRAFT: 3, Kind.RESUMABLE: 5}
MAX_SHORT_EVENTS, MAX_LONG_EVENTS = 30, 180
LONG_SHARE = 0.2
DEADLINES_S = (2.0, 4.0, 8.0)
LARGE_SHARE, LARGE_EVENT_BYTES = 0.1, 32 * 1024  # more than a slow caller takes
HASTY_SHARE, SLOW_SHARE, OLD_SHARE = 0.08, 0.08, 0.2
KEEP_SHARE = 0.8  # requests that stay at the router of the last one
PAUSE_S = 0.05
DOWN_PAUSE_S = 0.3


class Caller:
    """Sends one request after the other.

    Parameters
    ----------
    number : int
        Part of the ids of its requests.
    routers : list of Address
        Routers that it sends to.
    random : Random
        Source of its choices.
    record : RecordWriter
        Where the responses are recorded.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        number: int,
        routers: list[Address],
        random: Random,
        record: RecordWriter,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._number = number
        self._routers = routers
        self._random = random
        self._record = record
        self._router = routers[0]
        self._connection: CallerConnection | None = None

    def run(self, until: float) -> None:
        """Send requests until a moment of the monotonic clock."""
        count = 0
        while self._now() < until:
            count += 1
            exchange = self._draw(f"a{self._number}-{count}")
            response = exchange.response
            response.end = self._exchange(exchange)
            response.ended_at = self._now()
            self._record.write(response)
            is_down = response.end is ResponseEnd.REFUSED
            time.sleep(DOWN_PAUSE_S if is_down else PAUSE_S)

    def _draw(self, attempt: str) -> Exchange:
        random = self._random
        kind = random.choices(list(WEIGHT_BY_KIND), list(WEIGHT_BY_KIND.values()))[0]
        longest = MAX_SHORT_EVENTS
        if random.random() < LONG_SHARE:
            longest = MAX_LONG_EVENTS
        size = random.randint(1, longest) if kind.is_stream else 1
        behaviour = self._draw_behaviour()
        if random.random() > KEEP_SHARE or behaviour.http_version == "1.0":
            self._disconnect()
            self._router = random.choice(self._routers)
        response = Response(
            attempt,
            kind,
            str(self._router),
            size,
            self._now(),
            0.0,
            random.choice(DEADLINES_S),
            ResponseEnd.REFUSED,
            behaviour.http_version,
            is_patient=behaviour.is_patient,
            event_bytes=LARGE_EVENT_BYTES if random.random() < LARGE_SHARE else 0,
        )
        return Exchange(response, behaviour, self._clock)

    def _draw_behaviour(self) -> Behaviour:
        random = self._random
        version = "1.0" if random.random() < OLD_SHARE else "1.1"
        leaves_after_s, read_pause_s = None, 0.0
        if random.random() < HASTY_SHARE:
            leaves_after_s = random.uniform(0.01, 1.0)
        if random.random() < SLOW_SHARE:
            read_pause_s = random.uniform(0.1, 0.5)
        return Behaviour(version, leaves_after_s, read_pause_s)

    def _exchange(self, exchange: Exchange) -> ResponseEnd:
        try:
            if self._connection is None:
                self._connection = CallerConnection(self._router)
        except OSError:
            self._router = self._random.choice(self._routers)
            return ResponseEnd.REFUSED
        exchange.response.sent_at = self._now()
        end = self._send_and_read(exchange)
        if end is not ResponseEnd.COMPLETE or not exchange.is_kept:
            self._disconnect()
        return end

    def _send_and_read(self, exchange: Exchange) -> ResponseEnd:
        try:
            self._connection.send(exchange.request())
        except OSError:
            return ResponseEnd.RESET
        return self._connection.read(exchange)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def main() -> None:
    """Run all callers until their time is over."""
    arguments = docopt(__doc__)
    routers = [parse_address(item) for item in arguments["--routers"].split(",")]
    record = RecordWriter(Path(arguments["--record"]))
    clock = SystemClock()
    until = clock.monotonic().total_seconds() + float(arguments["--seconds"])
    threads = []
    for number in range(int(arguments["--callers"])):
        random = Random(f"{arguments['--seed']}-{number}")
        caller = Caller(number, routers, random, record, clock)
        threads.append(threading.Thread(target=caller.run, args=(until,)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
