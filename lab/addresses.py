"""Loopback addresses for stand-ins and programs under test."""

from __future__ import annotations

import itertools
import os
import socket

from ospreyvale.transport.network import Address

# Below the ports that Linux gives to outgoing connections, which could take one before it is listened on.
PORTS = range(20_000, 32_000)
_candidates = itertools.cycle([*PORTS[os.getpid() % len(PORTS) :], *PORTS[: os.getpid() % len(PORTS)]])


def free_address() -> Address:
    """Returns a loopback address with a port that is free now, and that was not returned before.

    Raises OSError if none of PORTS is free.
    """
    for port in itertools.islice(_candidates, len(PORTS)):
        try:
            with socket.create_server(("127.0.0.1", port)):
                return "127.0.0.1", port
        except OSError:
            continue
    raise OSError("no free port")
