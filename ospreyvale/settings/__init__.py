"""The configuration of the program: the platform's settings and the operator's document deploy/edge.kdl."""
