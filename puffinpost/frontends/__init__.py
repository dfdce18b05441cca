"""The protocols in which clients open sessions: the platform's line protocol, MQTT and XMPP.

Each package translates between one protocol and the coordinator's requests. None chooses an endpoint or
decides about a retry.
"""
