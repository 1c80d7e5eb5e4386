"""What proves to a router that an upstream ended, when its own link broke."""

from __future__ import annotations

import pytest

from banyansail.gateway.crash_check import has_ended
from banyansail.wire.call_codec import EmptyReply, NotReached, Reached

YES, NO, SILENT = Reached(), NotReached(), EmptyReply()


@pytest.mark.parametrize(
    ("near", "far", "is_near", "expected"),
    [
        ([YES], [NO], False, False),
        ([NO], [YES], True, False),
        ([NO, SILENT], [NO], False, True),
        ([SILENT, SILENT], [NO], False, False),  # its data centre is cut off
        ([SILENT], [SILENT], True, False),
        ([], [SILENT], True, True),
        ([], [SILENT], False, False),  # this router is cut off
        ([], [NO], False, True),
        ([], [], False, True),  # the only router
    ],
)
def test_an_upstream_has_ended_only_if_its_own_data_centre_says_so(
    near, far, is_near, expected
):
    assert has_ended(near, far, is_near=is_near) is expected
