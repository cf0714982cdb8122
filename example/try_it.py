"""Starts two toy exchanges and the program, makes one call and prints the messages that the caller receives.

Run from the root of the repository: `python -m example.try_it`.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time

BODY = b"c=IN IP4 10.4.7.9\r\n\r\n"
INVITE = (
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n"
    b"CSeq: 1 INVITE\r\nPriority-Class: stock-check\r\nExpires-Ms: 1500\r\nP-Customer: moda-rila\r\n"
    b"P-Trunk-Info: dest:1;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)
MAX_CONNECT_ATTEMPTS = 50


def connect(address: tuple[str, int]) -> socket.socket:
    """Connects, retrying for about 5 s while nothing listens on the address."""
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            return socket.create_connection(address)
        except ConnectionRefusedError:
            time.sleep(0.1)
    raise SystemExit(f"nothing listens on {address}")


def main() -> int:
    """Runs the example; returns 0 after the BYE of the call has arrived, 1 if the connection closes first."""
    exchanges = subprocess.Popen(
        [sys.executable, "-m", "example.toy_exchange", "127.0.0.1:5080", "127.0.0.1:5081"]
    )
    connect(("127.0.0.1", 5081)).close()
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "ospreyvale"], env=os.environ | {"LB_CONFIG": "example/config.json"}
    )
    try:
        with connect(("127.0.0.1", 5070)) as caller:
            caller.settimeout(5.0)
            caller.sendall(INVITE)
            received = b""
            while b"BYE" not in received:
                data = caller.recv(4_096)
                if not data:
                    return 1
                received += data
            print(received.decode().replace("\r\n", "\n"))
    finally:
        program.terminate()
        program.wait()
        exchanges.terminate()
        exchanges.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
