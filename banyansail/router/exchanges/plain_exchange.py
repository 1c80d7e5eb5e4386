"""Exchange with a plain service, which returns one complete answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.router.exchanges.exchange import Exchange
from banyansail.router.exchanges.stall_detector import StallDetector
from banyansail.router.requests.response_outcome import Answer
from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.attempt_error import AttemptError
from banyansail.upstreams.body_receiver import read_body
from banyansail.upstreams.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from twisted.web.iweb import IResponse

MAX_ANSWER_BYTES = 16 * 1024**2


class PlainExchange(Exchange):
    """A call to a plain service."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.has_stalled = False

    async def attempt(self, client: UpstreamClient) -> None:
        """Send the call and write the complete answer."""
        answer = await self.fetch(client)
        self.on_first_byte()
        self.has_server_error = answer.status >= 500
        self.deliver(answer)

    def deliver(self, answer: Answer) -> None:
        """Write the answer to the caller."""
        self.writer.end(answer)

    async def fetch(self, client: UpstreamClient) -> Answer:
        """Send the call and return the complete answer."""
        service = self.context.rules.service_by_name[self.request_class.service]
        call = self.build_call(
            self.request.body, self.request.path, **self.extra_headers()
        )
        with StallDetector(
            self.context.reactor, service.silence, self.check_stall
        ) as stall_detector:
            response = await client.send(call)
            stall_detector.reset()
            self._check_request_id(response)
            body = await read_body(response, MAX_ANSWER_BYTES, stall_detector.reset)
        if response.headers.getRawHeaders("x-ran", [""])[0] == "not_run":
            raise AttemptError(AttemptFailure.REFUSED, f"status {response.code}")
        if response.code >= 500 and self.request_class.is_repeatable:
            raise AttemptError(AttemptFailure.BAD_ANSWER, f"status {response.code}")
        content_type = response.headers.getRawHeaders("content-type", ["text/plain"])[0]
        return Answer(response.code, content_type, body)

    def extra_headers(self) -> dict[str, str]:
        """Return headers for the upstream in addition to `base_headers`."""
        if self.request.idempotency_key:
            return {"idempotency-key": self.request.idempotency_key}
        return {}

    async def check_stall(self) -> None:
        """Retry once on a new connection after a stall, if the call is idempotent."""
        if not self.request_class.is_repeatable or self.has_stalled:
            return
        name = self.assignment.state.rule.name
        attempt = self._current_attempt
        is_alive = await self.context.health.is_alive(name)
        if attempt is not self._current_attempt:
            return
        self.has_stalled = True
        failure = (
            AttemptFailure.CONNECTION_STALLED
            if is_alive
            else AttemptFailure.CONNECTION_LOST
        )
        self.abort_attempt(AttemptError(failure, "no data arrives on the connection"))

    def _check_request_id(self, response: IResponse) -> None:
        echoed = response.headers.getRawHeaders("x-request-id")
        if echoed and echoed[0] != self.attempt_id():
            raise AttemptError(
                AttemptFailure.BAD_ANSWER, "the answer belongs to another request"
            )
