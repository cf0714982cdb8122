"""What operators look at and do: figures, calls, the log, replacing the process."""
