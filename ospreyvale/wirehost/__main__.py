"""Serves the simulator's protocol on standard input and output."""

import sys

from ospreyvale.wirehost.host import main

sys.exit(main())
