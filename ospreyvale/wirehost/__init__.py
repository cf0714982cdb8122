"""Runs the decision module under the simulator's binary protocol."""
