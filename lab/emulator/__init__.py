"""Simulates fleets of real controllers on modelled exchanges, runs incident scripts, checks the records."""
