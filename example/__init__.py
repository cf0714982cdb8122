"""An example that runs the service with two toy exchanges."""
