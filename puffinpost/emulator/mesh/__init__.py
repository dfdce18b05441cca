"""Many nodes together, with faults between them: on a virtual clock, and as processes on loopback."""
