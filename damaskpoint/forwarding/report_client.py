"""Creates the HTTP clients that read the reports of upstreams."""

from __future__ import annotations

from tornado.httpclient import AsyncHTTPClient

from damaskpoint import defaults


def create_report_client(max_clients: int) -> AsyncHTTPClient:
    """Return a client for ``max_clients`` concurrent reads of small answers.

    A read fails once the head or the body is longer than a report can be.
    """
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_header_size=defaults.MAX_HEADER_BYTES,
        max_body_size=defaults.MAX_REPORT_BYTES,
        max_buffer_size=defaults.MAX_REPORT_BYTES,
    )
