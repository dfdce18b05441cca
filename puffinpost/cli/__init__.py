"""The command line. A node that is started plainly loads nothing of this."""
