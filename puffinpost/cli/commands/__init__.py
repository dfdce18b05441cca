"""The definitions of the subcommands, one module per group. Each imports its implementation when called."""
