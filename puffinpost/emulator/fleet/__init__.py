"""A fleet of real cores and decisions on a virtual clock, its discovery, and the drain rule held over it."""
