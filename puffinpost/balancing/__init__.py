"""The load-balancing decisions: one policy per module, each with its own state and without I/O."""
