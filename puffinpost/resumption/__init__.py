"""Sessions that outlive their connections, and their unacknowledged messages.

This package does no I/O and knows no wire format: the frontends translate their protocols.
"""
