"""What callers speak, and how they are sent away."""
