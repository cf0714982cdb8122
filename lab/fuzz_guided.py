"""Fuzzes both datagram codecs, guided by coverage: `python -m lab.fuzz_guided SECONDS [SEED]`.

Run by hand.  Requires atheris (`pip install atheris==3.0.0`), which no other part needs and CI does not
install.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path


def main() -> None:
    """Runs atheris with valid datagrams as the seed corpus."""
    import atheris

    with atheris.instrument_imports(include=["ospreyvale.protocol", "ospreyvale.devices", "cbor2"]):
        from lab.fuzz import decode_all, valid_datagrams

    seconds = sys.argv[1]
    seed = sys.argv[2] if len(sys.argv) > 2 else "1"
    with tempfile.TemporaryDirectory() as folder:
        for index, data in enumerate(valid_datagrams()):
            (Path(folder) / f"seed-{index}").write_bytes(data)

        def test_one_input(data: bytes) -> None:
            decode_all(data)

        atheris.Setup(
            [
                sys.argv[0],
                f"-max_total_time={seconds}",
                f"-seed={seed}",
                "-max_len=1400",
                "-rss_limit_mb=1024",
                "-print_final_stats=1",
                folder,
            ],
            test_one_input,
        )
        atheris.Fuzz()


if __name__ == "__main__":
    main()
