"""Responses of nodes whose status the protocol does not have."""

from __future__ import annotations

import httpx
import pytest

from flamingopond.adapters import HttpAdapter
from flamingopond.exceptions import ResponseLostError
from flamingopond.structures import Call


# Guards MIXED: the operator's command took such a response for one of a node.
@pytest.mark.parametrize("status", [600, 999])
def test_odd_status_is_a_lost_response(status):
    transport = httpx.MockTransport(lambda _: httpx.Response(status, json={}))
    adapter = HttpAdapter("key", transport=transport)
    with pytest.raises(ResponseLostError, match=str(status)):
        adapter.send("http://127.0.0.1:1", Call("GET", "status"))
    adapter.close()
