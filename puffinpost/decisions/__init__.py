"""What the decisions are made of: a concern a file, each with its own state, none with I/O."""
