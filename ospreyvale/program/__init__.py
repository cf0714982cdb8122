"""The running process: its start, reload and stop, Unix signals, and the command line."""
