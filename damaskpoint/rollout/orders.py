"""Keeps the operator's orders of rollouts, from the rows of its table."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog import metrics
from damaskpoint.errors import Failure
from damaskpoint.platform import names
from damaskpoint.platform.rollout_rows import read_order

if TYPE_CHECKING:
    from damaskpoint.platform.store import Rows, StoredRow
    from damaskpoint.rollout.book import RolloutBook
    from damaskpoint.rollout.model import Order

_LOG: Final = logging.getLogger(__name__)
# Time after a restore of the store in which the operator writes its rows again
# (seconds); an order of the same content is then the same order.
_REWRITE_S: Final = 15.0


@final
class OrderBook:
    """The orders of all services; times are monotonic seconds."""

    def __init__(self, book: RolloutBook) -> None:
        """Pass the orders to this book."""
        self._book = book
        self._rewritten_until = float('-inf')
        self.orders_by_service: dict[str, Order] = {}

    def replace(self, read: Rows, now: float) -> None:
        """Apply the whole table."""
        present = {row.key for row in read.rows if row.content is not None}
        for service in tuple(self.orders_by_service):
            if f'{names.KEY_PREFIX_ROLLOUT}{service}' not in present:
                self._remove(service)
        self.update(read, now)

    def restore(self, read: Rows, now: float) -> None:
        """Apply the table of a restored copy, which may lack new orders."""
        self._rewritten_until = now + _REWRITE_S
        self.update(read, now)

    def update(self, read: Rows, now: float) -> None:
        """Apply the rows that changed."""
        for row in read.rows:
            if not row.key.startswith(names.KEY_PREFIX_ROLLOUT):
                continue
            if row.content is None:
                self._remove(row.key.removeprefix(names.KEY_PREFIX_ROLLOUT))
                continue
            self._apply(row, row.content, read.era, now)

    def _apply(
        self, row: StoredRow, content: bytes, era: int, now: float
    ) -> None:
        order = read_order(content, row.version, era)
        if isinstance(order, Failure):
            metrics.BAD_ROWS.inc({'table': names.TABLE_OPERATOR})
            _LOG.warning(
                'ignoring an invalid order of a rollout',
                extra={'key': row.key, 'reason': order.detail},
            )
            return
        # The key names the service of the status row as well.
        service = row.key.removeprefix(names.KEY_PREFIX_ROLLOUT)
        order = replace(order, service=service)
        known = self.orders_by_service.get(service)
        if known is not None and now < self._rewritten_until:
            if order.has_content_of(known):
                order = replace(order, number=known.number)
        if order == known:
            return
        self.orders_by_service[service] = order
        self._book.set_order(service, order)
        _LOG.info(
            'rollout ordered',
            extra={
                'service': service,
                'to': order.to_version,
                'duration_s': order.duration_s,
                'order': order.number,
            },
        )

    def _remove(self, service: str) -> None:
        if self.orders_by_service.pop(service, None) is None:
            return
        self._book.set_order(service, None)
        _LOG.info('rollout order removed', extra={'service': service})
