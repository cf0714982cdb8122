"""The exchanges as a model, fleets of real controllers on it, incidents played from scripts, and a checker."""
