"""Resource that takes the requests of callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from banyansail.config.rules import ServiceKind
from banyansail.router.caller import Caller, CallerRequest
from banyansail.router.lifecycle import RouterState
from banyansail.router.model_exchange import ModelExchange
from banyansail.router.order_exchange import OrderExchange
from banyansail.router.parsing import (
    COMPLETIONS_PATH,
    STREAMS_PATH,
    BadRequestError,
    ParsedRequest,
    decode_completion,
    fingerprint_of,
    new_request_id,
    parse_request,
    read_last_event,
)
from banyansail.router.plain_exchange import PlainExchange
from banyansail.router.refusals import (
    NOT_READY,
    before_claim,
    body_too_large,
    no_stream,
)
from banyansail.routing.classify import classify
from banyansail.routing.request_types import Refusal, RequestClass
from banyansail.upstreams.events import SEPARATOR

if TYPE_CHECKING:
    from banyansail.router.context import ExchangeContext
    from banyansail.router.exchange import Exchange
    from banyansail.router.lifecycle import Lifecycle
    from banyansail.wire.call_codec import StreamRecord


class CallerResource(Resource):
    """Answers every path of the callers' port.

    Parameters
    ----------
    context : ExchangeContext
        What the exchanges of the router share.
    lifecycle : Lifecycle
        Says whether the router is ready or stopping.
    router_id : str
        Identity of this process.
    """

    isLeaf = True

    def __init__(
        self, context: ExchangeContext, lifecycle: Lifecycle, router_id: str
    ) -> None:
        super().__init__()
        self._context = context
        self._lifecycle = lifecycle
        self._router_id = router_id

    def render(self, request: Request) -> int:
        """Begin the exchange for a request."""
        if request.path == b"/health":
            return self._answer_health(request)
        caller = Caller(request, new_request_id())
        gone = request.notifyFinish()
        gone.addErrback(lambda failure: None)
        try:
            if request.path.startswith(STREAMS_PATH.encode()):
                self._continue_stream(request, caller)
            else:
                parsed = parse_request(request, caller.request_id)
                self._begin(request, caller, parsed)
        except BadRequestError as error:
            self._context.metrics.count("refuse.bad_request")
            caller.refuse(error.refusal())
        return NOT_DONE_YET

    def _answer_health(self, request: Request) -> bytes:
        state = self._lifecycle.state
        request.setResponseCode(200 if self._lifecycle.is_ready else 503)
        request.setHeader("content-type", "application/json")
        return json.dumps({"state": state.value}).encode()

    def _begin(self, http: Request, caller: Caller, parsed: ParsedRequest) -> None:
        if self._lifecycle.state is RouterState.STARTING:
            caller.refuse(before_claim(NOT_READY, parsed.request.key))
            return
        request = parsed.request
        path = request.path.partition("?")[0]
        classified = classify(
            self._context.rules,
            request.service,
            request.method,
            path,
            request.workspace,
            parsed.timeout,
        )
        if isinstance(classified, Refusal):
            caller.refuse(before_claim(classified, request.key))
            return
        limit = self._context.rules.limit(request.service).body
        if len(request.body) > limit:
            caller.refuse(before_claim(body_too_large(limit), request.key))
            return
        exchange = self._build(caller, parsed, classified)
        if exchange is None:
            text = f"service {request.service!r} does not take calls of this kind"
            raise BadRequestError(text)
        self._run(http, exchange)

    def _build(
        self, caller: Caller, parsed: ParsedRequest, request_class: RequestClass
    ) -> Exchange | None:
        request = parsed.request
        arguments = (
            self._context,
            caller,
            request,
            request_class,
            fingerprint_of(request),
        )
        is_model = request_class.kind is ServiceKind.MODEL
        if is_model != (parsed.completion is not None):
            return None
        if parsed.completion is not None:
            return ModelExchange(*arguments, body=parsed.completion, delivered=[])
        if request_class.is_repeatable or not request.key:
            return PlainExchange(*arguments)
        return OrderExchange(*arguments, router_id=self._router_id)

    def _run(self, http: Request, exchange: Exchange) -> None:
        gone = http.notifyFinish()
        gone.addErrback(lambda failure: exchange.abandon())
        self._lifecycle.add(exchange)
        done = exchange.start()
        done.addBoth(lambda result: self._lifecycle.discard(exchange))

    def _continue_stream(self, http: Request, caller: Caller) -> None:
        last_event = read_last_event(http)
        request_id = http.path.decode("latin-1").removeprefix(STREAMS_PATH)
        caller.request_id = request_id
        done = defer.Deferred.fromCoroutine(
            self._find_and_continue(http, caller, request_id, last_event)
        )
        done.addErrback(lambda failure: caller.refuse(no_stream(request_id)))

    async def _find_and_continue(
        self, http: Request, caller: Caller, request_id: str, last_event: int
    ) -> None:
        record = await self._context.streams.find(request_id)
        if record is None or last_event >= len(record.events):
            caller.refuse(no_stream(request_id))
            return
        request = CallerRequest(
            request_id,
            record.service,
            "POST",
            COMPLETIONS_PATH,
            record.workspace,
            record.body,
            "application/json",
            last_event=last_event,
        )
        classified = classify(
            self._context.rules,
            record.service,
            request.method,
            request.path,
            record.workspace,
            None,
        )
        if isinstance(classified, Refusal):
            caller.refuse(classified)
            return
        caller.begin_stream()
        for event in record.events[last_event + 1 :]:
            caller.write(event + SEPARATOR)
        self._run(http, self._resume(caller, request, classified, record))

    def _resume(
        self,
        caller: Caller,
        request: CallerRequest,
        request_class: RequestClass,
        record: StreamRecord,
    ) -> ModelExchange:
        return ModelExchange(
            self._context,
            caller,
            request,
            request_class,
            fingerprint_of(request),
            body=decode_completion(record.body),
            delivered=list(record.events),
        )
