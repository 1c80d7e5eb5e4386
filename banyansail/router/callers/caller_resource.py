"""HTTP resource that serves the requests of callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from banyansail.config.rules import ServiceKind
from banyansail.router.exchanges.keyed_exchange import KeyedExchange
from banyansail.router.exchanges.model_exchange import ModelExchange
from banyansail.router.exchanges.plain_exchange import PlainExchange
from banyansail.router.lifecycle import RouterState
from banyansail.router.requests.caller import CallerRequest
from banyansail.router.requests.parsing import (
    COMPLETIONS_PATH,
    STREAMS_PATH,
    BadRequestError,
    ParsedRequest,
    decode_completion,
    new_request_id,
    parse_request,
    read_last_event_index,
    request_fingerprint,
)
from banyansail.router.requests.refusals import (
    NOT_READY,
    body_too_large,
    refusal_before_key_lookup,
    unknown_stream,
)
from banyansail.router.requests.response_writer import ResponseWriter
from banyansail.routing.classify import classify
from banyansail.routing.request_types import Refusal, RequestClass
from banyansail.upstreams.events import EVENT_SEPARATOR

if TYPE_CHECKING:
    from banyansail.router.exchanges.context import ExchangeContext
    from banyansail.router.exchanges.exchange import Exchange
    from banyansail.router.lifecycle import Lifecycle
    from banyansail.wire.call_types import StreamRecord


class CallerResource(Resource):
    """Serves every path of the callers' port.

    Parameters
    ----------
    context : ExchangeContext
        State that all exchanges of the router share.
    lifecycle : Lifecycle
        State of the router and its exchanges in progress.
    router_id : str
        ID of this process.
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
        """Start the exchange for a request."""
        if request.path == b"/health":
            return self._answer_health(request)
        writer = ResponseWriter(request, new_request_id())
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda failure: None)
        try:
            if request.path.startswith(STREAMS_PATH.encode()):
                self._resume_stream(request, writer)
            else:
                parsed = parse_request(request, writer.request_id)
                self._start_exchange(request, writer, parsed)
        except BadRequestError as error:
            self._context.metrics.count("refuse.bad_request")
            writer.end(error.refusal())
        return NOT_DONE_YET

    def _answer_health(self, request: Request) -> bytes:
        state = self._lifecycle.state
        request.setResponseCode(200 if self._lifecycle.is_ready else 503)
        request.setHeader("content-type", "application/json")
        return json.dumps({"state": state.value}).encode()

    def _start_exchange(
        self, http_request: Request, writer: ResponseWriter, parsed: ParsedRequest
    ) -> None:
        if self._lifecycle.state is RouterState.STARTING:
            writer.end(
                refusal_before_key_lookup(NOT_READY, parsed.request.idempotency_key)
            )
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
            writer.end(refusal_before_key_lookup(classified, request.idempotency_key))
            return
        max_body_bytes = self._context.rules.limit(request.service).max_body_bytes
        if len(request.body) > max_body_bytes:
            writer.end(
                refusal_before_key_lookup(
                    body_too_large(max_body_bytes), request.idempotency_key
                )
            )
            return
        exchange = self._build_exchange(writer, parsed, classified)
        if exchange is None:
            text = f"service {request.service!r} does not accept calls of this kind"
            raise BadRequestError(text)
        self._run_exchange(http_request, exchange)

    def _build_exchange(
        self, writer: ResponseWriter, parsed: ParsedRequest, request_class: RequestClass
    ) -> Exchange | None:
        request = parsed.request
        arguments = (
            self._context,
            writer,
            request,
            request_class,
            request_fingerprint(request),
        )
        is_model = request_class.kind is ServiceKind.MODEL
        if is_model != (parsed.completion is not None):
            return None
        if parsed.completion is not None:
            return ModelExchange(*arguments, body=parsed.completion, delivered=[])
        if request_class.is_repeatable or not request.idempotency_key:
            return PlainExchange(*arguments)
        return KeyedExchange(*arguments, router_id=self._router_id)

    def _run_exchange(self, http_request: Request, exchange: Exchange) -> None:
        disconnected = http_request.notifyFinish()
        disconnected.addErrback(lambda failure: exchange.abandon())
        self._lifecycle.add(exchange)
        done = exchange.start()
        done.addBoth(lambda result: self._lifecycle.discard(exchange))

    def _resume_stream(self, http_request: Request, writer: ResponseWriter) -> None:
        last_event_index = read_last_event_index(http_request)
        request_id = http_request.path.decode("latin-1").removeprefix(STREAMS_PATH)
        writer.request_id = request_id
        done = defer.Deferred.fromCoroutine(
            self._find_and_resume(http_request, writer, request_id, last_event_index)
        )
        done.addErrback(lambda failure: writer.end(unknown_stream(request_id)))

    async def _find_and_resume(
        self,
        http_request: Request,
        writer: ResponseWriter,
        request_id: str,
        last_event_index: int,
    ) -> None:
        record = await self._context.streams.find(request_id)
        if record is None or last_event_index >= len(record.events):
            writer.end(unknown_stream(request_id))
            return
        request = CallerRequest(
            request_id,
            record.service,
            "POST",
            COMPLETIONS_PATH,
            record.workspace,
            record.body,
            "application/json",
            last_event_index=last_event_index,
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
            writer.end(classified)
            return
        writer.start_stream()
        for event in record.events[last_event_index + 1 :]:
            writer.write(event + EVENT_SEPARATOR)
        self._run_exchange(
            http_request,
            self._build_resumed_exchange(writer, request, classified, record),
        )

    def _build_resumed_exchange(
        self,
        writer: ResponseWriter,
        request: CallerRequest,
        request_class: RequestClass,
        record: StreamRecord,
    ) -> ModelExchange:
        return ModelExchange(
            self._context,
            writer,
            request,
            request_class,
            request_fingerprint(request),
            body=decode_completion(record.body),
            delivered=list(record.events),
        )
