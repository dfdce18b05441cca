"""The command line. A node that runs without a subcommand does not import this package."""
