"""`python -m ospreyvale`: starts a session controller; with arguments, runs the command line instead."""

import sys

if len(sys.argv) > 1:
    from ospreyvale.program.cli import main as command

    command()
else:
    from ospreyvale.program.signals import hold_signals

    hold_signals()  # before the other modules are imported, which takes most of the start

    from ospreyvale.program.app import main

    sys.exit(main())
