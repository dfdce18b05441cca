"""Documents with versions on which all nodes act together: state machines without any I/O."""
