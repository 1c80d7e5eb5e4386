"""Rejections of requests before they are served."""

from __future__ import annotations

from datetime import timedelta

from banyansail.gateway.request_types import Cause, Rejection

EVACUATIONS_UNKNOWN = Rejection(
    503,
    Cause.NO_CONFIG,
    "it is not known yet which data centres are evacuated",
    timedelta(milliseconds=500),
)
NOT_CONFIGURED = Rejection(
    503,
    Cause.NO_CONFIG,
    "no configuration has been received yet",
    timedelta(milliseconds=500),
)
STOPPING = Rejection(
    503, Cause.STOPPING, "this router is shutting down", timedelta(milliseconds=50)
)
