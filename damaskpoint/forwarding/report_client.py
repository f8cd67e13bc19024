"""Creates the HTTP clients that read the reports of upstreams."""

from __future__ import annotations

from tornado.httpclient import AsyncHTTPClient


def create_report_client(max_clients: int) -> AsyncHTTPClient:
    """Return a client for ``max_clients`` concurrent reads."""
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
    )
