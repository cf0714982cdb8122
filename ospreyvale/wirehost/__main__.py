"""Serves the simulator's wire on standard input and output."""

import sys

from ospreyvale.wirehost.host import main

sys.exit(main())
