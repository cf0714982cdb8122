"""A client that keeps a connection to one address and connects again when it is lost or replaced."""

from __future__ import annotations

from collections.abc import Callable

from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Signal
from ospreyvale.transport.network import Address, Dialer

MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 1_000.0


class ReconnectingClient:
    """Keeps a connection to one address and runs `serve` on each connection until it ends.

    Failed attempts are repeated after a delay that doubles from MIN_RETRY_DELAY_MS to `max_retry_delay_ms`.
    `on_dial_failed` is called after each failed attempt.
    """

    def __init__(
        self,
        dialer: Dialer,
        address: Address,
        connect_timeout_ms: float,
        serve: Callable[[Link], Coroutine],
        on_dial_failed: Callable[[], None],
        high_priority: bool = False,
        max_retry_delay_ms: float = MAX_RETRY_DELAY_MS,
    ) -> None:
        self.dialer = dialer
        self.address = address
        self.connect_timeout_ms = connect_timeout_ms
        self.serve = serve
        self.on_dial_failed = on_dial_failed
        self.high_priority = high_priority
        self.max_retry_delay_ms = max_retry_delay_ms
        self.link: Link | None = None  # the newest connection, while it is open and not replaced
        self.closed = self.dialling = False
        self._renewing = False  # another connection is wanted beside `link`
        self._retry_now = Signal()
        self._link_replaced = Signal()
        dialer.loop.spawn(self._maintain_connection())

    @property
    def renewing(self) -> bool:
        """Whether another connection is wanted beside `link` and not up yet."""
        return self._renewing

    def dial_now(self) -> None:
        """Ends the wait before the next attempt to connect."""
        self.dialer.loop.fire(self._retry_now)

    def replace_link(self) -> None:
        """Opens another connection, which becomes `link`; the current one is served until it ends."""
        self.link = None
        self.dialer.loop.fire(self._link_replaced)

    def renew_link(self) -> None:
        """Opens another connection, which becomes `link` once it is up; the current one is `link` until then.

        The current one is served until it ends.
        """
        self._renewing = True
        self.dialer.loop.fire(self._link_replaced)

    def close(self) -> None:
        """Closes the connection and does not connect again."""
        self.closed = True
        if self.link is not None:
            self.link.close()
        self.dial_now()

    def _maintain_connection(self) -> Coroutine:
        retry_delay_ms = MIN_RETRY_DELAY_MS
        while not self.closed:
            self.dialling = True
            link = yield from self.dialer.dial(self.address, self.connect_timeout_ms, self.high_priority)
            self.dialling = False
            if link is None:
                self.on_dial_failed()
                if not self.closed:
                    yield from self.dialer.loop.sleep(retry_delay_ms, self._retry_now)
                retry_delay_ms = min(2.0 * retry_delay_ms, self.max_retry_delay_ms)
                continue
            if self.closed:
                link.close()
                return
            self.link = link
            self._renewing = False
            retry_delay_ms = MIN_RETRY_DELAY_MS
            self.dialer.loop.spawn(self._serve_link(link))
            while self.link is link and not self._renewing:
                yield self._link_replaced

    def _serve_link(self, link: Link) -> Coroutine:
        try:
            yield from self.serve(link)
        finally:  # also after an exception in `serve`, which would prevent any further connection
            link.close()
            if self.link is link:
                self.replace_link()
