"""How a node follows discovery: which call comes next, and when. No I/O; `net/discovery` drives it."""
