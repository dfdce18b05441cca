"""The XMPP frontend: streams from clients and streams to endpoints.

docs/xmpp.md describes the namespace of its sessions. The runtime imports the frontend from this package.
"""

from puffinpost.frontends.xmpp.frontend import XmppFrontend

__all__ = ["XmppFrontend"]
