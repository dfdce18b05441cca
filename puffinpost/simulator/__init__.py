"""Runs balancers for the simulator, which sends events and receives actions in its binary wire format."""
