"""The module on the simulator's wire."""
