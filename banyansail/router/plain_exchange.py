"""Exchange with a plain service: one whole answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.router.caller import Answer
from banyansail.router.exchange import Exchange
from banyansail.router.silence import SilenceWatch
from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.upstream_client import AttemptError, UpstreamClient, read_body

if TYPE_CHECKING:
    from twisted.web.iweb import IResponse

MAX_ANSWER_BYTES = 16 * 1024**2


class PlainExchange(Exchange):
    """A call of a plain service."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.has_been_silent = False

    async def attempt(self, client: UpstreamClient) -> None:
        """Send the call and pass the whole answer on."""
        answer = await self.fetch(client)
        self.on_first_byte()
        self.has_failed_answer = answer.status >= 500
        self.deliver(answer)

    def deliver(self, answer: Answer) -> None:
        """Give the caller the answer."""
        self.caller.answer(answer)

    async def fetch(self, client: UpstreamClient) -> Answer:
        """Send the call and return the whole answer."""
        service = self.context.rules.service_by_name[self.request_class.service]
        call = self.build_call(self.request.body, self.request.path, **self.extra())
        with SilenceWatch(
            self.context.reactor, service.silence, self.check_silence
        ) as watch:
            response = await client.send(call)
            watch.touch()
            self._check_echo(response)
            body = await read_body(response, MAX_ANSWER_BYTES, watch.touch)
        if response.headers.getRawHeaders("x-ran", [""])[0] == "not_run":
            raise AttemptError(AttemptFailure.REFUSED, f"status {response.code}")
        if response.code >= 500 and self.request_class.is_repeatable:
            raise AttemptError(AttemptFailure.BAD_ANSWER, f"status {response.code}")
        content_type = response.headers.getRawHeaders("content-type", ["text/plain"])[0]
        return Answer(response.code, content_type, body)

    def extra(self) -> dict[str, str]:
        """Return headers for the upstream besides the usual ones."""
        if self.request.key:
            return {"idempotency-key": self.request.key}
        return {}

    async def check_silence(self) -> None:
        """Leave a silent connection for a new one, once, if the call may repeat."""
        if not self.request_class.is_repeatable or self.has_been_silent:
            return
        name = self.assignment.state.rule.name
        attempt = self._attempt
        alive = await self.context.health.is_alive(name)
        if attempt is not self._attempt:
            return
        self.has_been_silent = True
        failure = (
            AttemptFailure.CONNECTION_STALLED
            if alive
            else AttemptFailure.CONNECTION_LOST
        )
        self.break_attempt(AttemptError(failure, "the connection is silent"))

    def _check_echo(self, response: IResponse) -> None:
        echoed = response.headers.getRawHeaders("x-request-id")
        if echoed and echoed[0] != self.attempt_id():
            raise AttemptError(
                AttemptFailure.BAD_ANSWER, "the answer is of another request"
            )
