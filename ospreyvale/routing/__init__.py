"""The core: decisions, call table and stages.  It knows no signalling protocol."""
